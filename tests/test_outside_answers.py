"""Answers of the platform, and settings, that cannot be read.

Looked for after programs had ended at words that nothing expected to be
unreadable: the planner took the platform's lists for what they should be, and a
field that was missing ended it after eight tries; a refusal of the platform that
is nested without end ended each session of the leader; a date that is none in
the settings came out of the reader as an error of another kind. A file that was
read while it was written was refused, and never read again.
"""

import gevent
import pytest

from adapter import reload, settings
from adapter.cloud import CloudClient
from adapter.minion import reply_of
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.contact import ReplyKind
from hingepitch.jobs.fleet import FleetReply
from hingepitch.planner import platform as planner_platform
from hingepitch.planner.platform import PlatformClient
from hingepitch.request import Answer
from hingepitch.setting import Settings, load_settings

SECONDS = 5
DEEP = b'{"x":' + b"[" * 100_000

VMS = [{"name": "vm", "healthy": True, "boot_id": "b"}]
TASKS = [{"name": "j/1", "vm": "vm", "state": "running"}]


def view(monkeypatch, vms, tasks):
    answers = {"/vms": vms, "/tasks": tasks}

    def call(address, method, path, body, timeout_seconds):
        return 200, answers[path]

    monkeypatch.setattr(planner_platform, "call_json", call)
    return PlatformClient("127.0.0.1:1").view({}, 0.0)


def test_a_whole_view_is_taken(monkeypatch):
    taken = view(monkeypatch, VMS, TASKS)
    assert list(taken.vm_by_name) == ["vm"]
    assert list(taken.task_by_name) == ["j/1"]


@pytest.mark.parametrize(
    "vms, tasks",
    [
        (None, TASKS),
        ({"error": "busy"}, TASKS),
        ([{"name": "vm"}], TASKS),
        ([{**VMS[0], "name": ["vm"]}], TASKS),
        (VMS, 5),
        (VMS, [{**TASKS[0], "state": "a state of later versions"}]),
        (VMS, ["j/1"]),
    ],
)
def test_a_view_that_cannot_be_read_is_a_platform_that_failed(monkeypatch, vms, tasks):
    with pytest.raises(HingepitchError) as caught:
        view(monkeypatch, vms, tasks)
    assert caught.value.code == "platform_failed"


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b'{"reason":5}', DEEP])
def test_a_refusal_of_the_platform_that_cannot_be_read_is_unsure(monkeypatch, body):
    client = CloudClient("127.0.0.1:1")
    monkeypatch.setattr(client, "call", lambda *_: Answer(409, [], body))
    assert client.move("vm", "pool", "a", 1, 1.0) is FleetReply.UNSURE


@pytest.mark.parametrize("body", [b"\xff", b"[]", DEEP])
def test_a_refusal_of_a_minion_that_cannot_be_read_is_unsure(body):
    assert reply_of(Answer(409, [], body)).kind is ReplyKind.UNSURE


TEXTS = ["a: 2020-13-45", "a: !!int x", "a: !!timestamp x", "&a [*a]", "\xff", "a: ["]


@pytest.mark.parametrize("text", TEXTS)
@pytest.mark.parametrize(
    "read", [settings.read_settings, lambda path: load_settings(Settings, path)]
)
def test_settings_that_cannot_be_read_are_bad_settings(tmp_path, read, text):
    path = tmp_path / "settings.yaml"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(HingepitchError) as caught:
        read(path)
    assert caught.value.code == "bad_settings"


class Book:
    seeds = ()


class Program(reload.SettingsReloadMixin):
    book = Book()


WHOLE = """
node: n
ip: 10.0.0.1
zone: z
listen: {}
port_range: [7000, 7001]
seeds: ["10.0.0.9:80"]
"""


def test_a_file_that_is_read_while_it_is_written_is_read_again(tmp_path, monkeypatch):
    path = tmp_path / "settings.yaml"
    path.write_text(WHOLE[: len(WHOLE) // 2])
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(
        reload, "RETRY_PAUSES_SECONDS", (0.05, 0.05, 0.05), raising=False
    )
    program = Program()
    reloading = gevent.spawn(program.reload)
    gevent.sleep(0)
    path.write_text(WHOLE)
    assert wait_until(lambda: program.book.seeds == ["10.0.0.9:7000"], SECONDS)
    reloading.get(timeout=SECONDS)


def test_a_file_that_stays_faulty_is_given_up(tmp_path, monkeypatch):
    path = tmp_path / "settings.yaml"
    path.write_text("node: 5")
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(reload, "RETRY_PAUSES_SECONDS", (0.01, 0.01), raising=False)
    gevent.spawn(Program().reload).get(timeout=SECONDS)
