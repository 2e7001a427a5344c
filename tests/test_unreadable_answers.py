"""Test unreadable answers of the platform and unreadable settings.

Each must become a typed error instead of ending the program. Missing fields in the
platform's lists ended the planner after eight attempts. A deeply nested refusal of
the platform raised RecursionError and ended each session of the leader. An invalid
date in the settings raised an error that the reader did not expect. A settings file
that was read while it was being written was refused and not read again.
"""

import gevent
import pytest

from adapter import reload, settings
from adapter.cloud import CloudClient
from adapter.minion import reply_of
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.agents.contact import ReplyKind
from hingepitch.jobs.fleet import FleetReply
from hingepitch.planner import platform as planner_platform
from hingepitch.planner.platform import PlatformClient
from hingepitch.request import Answer
from hingepitch.setting import Settings, load_settings

TIMEOUT_SECONDS = 5
DEEPLY_NESTED = b'{"x":' + b"[" * 100_000

VM_ROWS = [{"name": "vm", "healthy": True, "boot_id": "b"}]
TASK_ROWS = [{"name": "j/1", "vm": "vm", "state": "running"}]


def fetch_view(monkeypatch, vms, tasks):
    answers = {"/vms": vms, "/tasks": tasks}

    def call(address, method, path, body, timeout_seconds):
        return 200, answers[path]

    monkeypatch.setattr(planner_platform, "call_json", call)
    return PlatformClient("127.0.0.1:1").view({}, 0.0)


def test_valid_view_is_accepted(monkeypatch):
    fetched = fetch_view(monkeypatch, VM_ROWS, TASK_ROWS)
    assert list(fetched.vm_by_name) == ["vm"]
    assert list(fetched.task_by_name) == ["j/1"]


@pytest.mark.parametrize(
    "vms, tasks",
    [
        (None, TASK_ROWS),
        ({"error": "busy"}, TASK_ROWS),
        ([{"name": "vm"}], TASK_ROWS),
        ([{**VM_ROWS[0], "name": ["vm"]}], TASK_ROWS),
        (VM_ROWS, 5),
        (VM_ROWS, [{**TASK_ROWS[0], "state": "a state of later versions"}]),
        (VM_ROWS, ["j/1"]),
    ],
)
def test_unreadable_view_raises_platform_failed(monkeypatch, vms, tasks):
    with pytest.raises(HingepitchError) as caught:
        fetch_view(monkeypatch, vms, tasks)
    assert caught.value.code == "platform_failed"


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b'{"reason":5}', DEEPLY_NESTED])
def test_unreadable_platform_refusal_leaves_outcome_unknown(monkeypatch, body):
    client = CloudClient("127.0.0.1:1")
    monkeypatch.setattr(client, "call", lambda *_: Answer(409, [], body))
    assert client.move("vm", "pool", "a", 1, 1.0) is FleetReply.UNSURE


@pytest.mark.parametrize("body", [b"\xff", b"[]", DEEPLY_NESTED])
def test_unreadable_minion_refusal_leaves_outcome_unknown(body):
    assert reply_of(Answer(409, [], body)).kind is ReplyKind.UNSURE


UNREADABLE_SETTINGS = [
    "a: 2020-13-45",
    "a: !!int x",
    "a: !!timestamp x",
    "&a [*a]",
    "\xff",
    "a: [",
]


@pytest.mark.parametrize("text", UNREADABLE_SETTINGS)
@pytest.mark.parametrize(
    "read", [settings.read_settings, lambda path: load_settings(Settings, path)]
)
def test_unreadable_settings_raise_bad_settings(tmp_path, read, text):
    path = tmp_path / "settings.yaml"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(HingepitchError) as caught:
        read(path)
    assert caught.value.code == "bad_settings"


class PeerRegistryStub:
    seeds = ()


class ReloadingProgram(reload.SettingsReloadMixin):
    peer_registry = PeerRegistryStub()


VALID_SETTINGS = """
node: n
ip: 10.0.0.1
zone: z
listen: {}
port_range: [7000, 7001]
seeds: ["10.0.0.9:80"]
"""


def test_settings_file_read_during_a_write_is_read_again(tmp_path, monkeypatch):
    path = tmp_path / "settings.yaml"
    path.write_text(VALID_SETTINGS[: len(VALID_SETTINGS) // 2])
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(
        reload, "RETRY_PAUSES_SECONDS", (0.05, 0.05, 0.05), raising=False
    )
    program = ReloadingProgram()
    reloading = gevent.spawn(program.reload)
    gevent.sleep(0)
    path.write_text(VALID_SETTINGS)
    assert wait_until(
        lambda: program.peer_registry.seeds == ["10.0.0.9:7000"], TIMEOUT_SECONDS
    )
    reloading.get(timeout=TIMEOUT_SECONDS)


def test_reload_ends_if_settings_stay_invalid(tmp_path, monkeypatch):
    path = tmp_path / "settings.yaml"
    path.write_text("node: 5")
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(reload, "RETRY_PAUSES_SECONDS", (0.01, 0.01), raising=False)
    gevent.spawn(ReloadingProgram().reload).get(timeout=TIMEOUT_SECONDS)
