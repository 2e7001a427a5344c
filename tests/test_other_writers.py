"""Messages of another writer: they name nothing to use, and the others hold.

Seen: nothing was dispatched for the rest of a day although a leader was there;
requests of all kinds failed, and lasting tasks that had lapsed had no run
again. One way in which that comes about, shown here: a heartbeat whose address
cannot be called was taken into the log as a minion. Making its client raised
an error in the leader's loop, which ended the session; each later session and
each later leader met the same record at once.
"""

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from adapter.cloud import CloudClient, parse_vm_row
from adapter.minion import HttpMinion, reply_of
from adapter.wire import decode_heartbeat, parse_ended, parse_rows, parse_running
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.contact import ReplyKind
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from hingepitch.peerbook import decode_rows
from hingepitch.request import Answer
from standin.taskminion import TaskMinion
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import JOB, make_minion, task
from tests.test_platform import CONFIG, HEARTBEAT, ApiHarness

#: What a value may be that another writer put in its place.
STRANGE = (None, True, -1, "x", [], {}, 1.5)

ROW = [f"{JOB}.0.0.1", 2, "saved", 41, 7]
END = [58, f"{JOB}.0.1.9", 3, "lapsed", "half"]
VM = {"machine": "m-1", "pool": "p", "state": "up", "zone": "h", "labels": ["a"]}

#: Answers of which nothing can be read.
UNREADABLE = (b"", b"\xff", b"[]", b'{"clock_ms":"x"}', b"[" * 9000)

SETTINGS = settings(max_examples=200, derandomize=True, deadline=None)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.sampled_from([*HEARTBEAT, *VM]), inner, max_size=6)
    ),
    max_leaves=12,
)


@pytest.fixture
def rig():
    made = Rig(TaskMinion(task_seconds=0.05), connect=HttpMinion)
    yield made
    made.close()


@pytest.fixture
def system():
    made = ApiHarness()
    assert made.put_config(CONFIG) == 200
    return made


# The leader.


@pytest.mark.parametrize("address", ["not an address", "", "10.0.0.1:none", "::1"])
def test_a_minion_that_cannot_be_called_holds_nobody_up(rig, address):
    stranger = make_minion(9, id="stranger", address=address)
    rig.log.send(commands.RegisterMinion(stranger, 0))
    rig.submit(Step(2))
    rig.wait_status(JobStatus.SUCCEEDED)


def test_what_ran_on_a_minion_that_cannot_be_called_runs_again(rig):
    stranger = make_minion(9, id="stranger", address="nowhere")
    rig.log.send(commands.RegisterMinion(stranger, 0))
    rig.log.submit(Step(1))
    assert rig.log.start(task(), minion="stranger") == [True]
    rig.replica.wake()
    rig.wait_status(JobStatus.SUCCEEDED)
    assert "stranger" not in rig.log.table.minion_by_id


def test_a_life_whose_address_is_put_right_is_called_again(rig):
    minion = rig.minions[0]
    good = rig.log.table.minion_by_id[minion.life]
    session = wait_for_session(rig)
    session.agents.uncallable["later"] = "nowhere"
    record = replace(good, id="later", vm="vm-later")
    assert session.agents.meet(record) is not None


def wait_for_session(rig):
    assert wait_until(lambda: rig.dispatcher.session is not None, SECONDS)
    return rig.dispatcher.session


# Heartbeats.


def make_strange_beats():
    for field in ("service", "address", "zone", "state", "seq", "capacity", "labels"):
        for value in STRANGE:
            if field == "labels" and value == []:
                continue  # A minion without labels is a minion.
            if field in ("service", "zone") and value == "x":
                continue  # Another name; see the pool that is not named.
            if field == "capacity" and value == {}:
                continue  # A minion without room is one that takes nothing.
            yield {**HEARTBEAT, field: value}
    for field in ("service", "address", "zone", "state", "seq", "capacity"):
        yield {name: value for name, value in HEARTBEAT.items() if name != field}
    yield {**HEARTBEAT, "state": "molten"}
    yield {**HEARTBEAT, "address": "127.0.0.1:99999"}
    yield {**HEARTBEAT, "capacity": {"cpu": "many"}}
    yield {**HEARTBEAT, "labels": ["a", 5]}


STRANGE_BEATS = tuple(make_strange_beats())


@pytest.mark.parametrize("heartbeat", STRANGE_BEATS, ids=str)
def test_a_strange_heartbeat_makes_no_minion(system, heartbeat):
    answer = system.control.simulate_put("/-/instances/i-9", body=json.dumps(heartbeat))
    assert answer.status_code == 400
    assert "i-9" not in system.log.table.minion_by_id


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[1]", b"{", b"[" * 10_000])
def test_a_heartbeat_that_cannot_be_read_makes_no_minion(system, body):
    answer = system.control.simulate_put("/-/instances/i-9", body=body)
    assert answer.status_code == 400
    assert not system.log.table.minion_by_id


def test_a_minion_of_a_pool_that_is_not_named_is_refused(system):
    assert system.heartbeat("i-9", service="nobody").status_code == 400
    assert "i-9" not in system.log.table.minion_by_id


@pytest.mark.parametrize("heartbeat", STRANGE_BEATS, ids=str)
def test_a_strange_heartbeat_neither_renews_nor_ends_a_life(system, heartbeat):
    assert system.heartbeat("i-1").status_code == 200
    before = system.log.table.minion_by_id["i-1"]
    system.control.simulate_put("/-/instances/i-1", body=json.dumps(heartbeat))
    assert system.log.table.minion_by_id == {"i-1": before}
    assert system.heartbeat("i-1", seq=5, state="draining").status_code == 200
    assert system.log.table.minion_by_id["i-1"].is_draining


@SETTINGS
@given(body=JSON.map(lambda value: json.dumps(value).encode()) | st.binary())
def test_any_heartbeat_is_a_beat_or_a_typed_error(body):
    try:
        decode_heartbeat("i-1", body)
    except HingepitchError as error:
        assert error.code == "bad_request"


# Answers of a minion.


def look_of(body):
    minion = HttpMinion(make_minion(1))
    answer = Answer(200, [], encode(body))
    return minion.decode_poll_reply(answer, reply_of(answer))


def encode(body):
    return body if isinstance(body, bytes) else json.dumps(body).encode()


@pytest.mark.parametrize("at", range(4))
@pytest.mark.parametrize("value", [None, True, [], {}])
def test_a_row_that_cannot_be_read_hides_no_other(at, value):
    strange = [*ROW[:at], value, *ROW[at + 1 :]]
    body = {"clock_ms": 1, "running": [strange, ROW, 5, ROW[:2]], "finished": []}
    look = look_of(body)
    assert look.running == (parse_running(ROW),)
    assert look.unread_running == 3


@pytest.mark.parametrize("at", range(5))
def test_an_end_that_cannot_be_read_hides_no_other(at):
    strange = [*END[:at], {}, *END[at + 1 :]]
    unknown = [*END[:3], "molten", ""]
    look = look_of({"clock_ms": 1, "finished": [strange, unknown, END, None]})
    assert look.ended == (parse_ended(END),)
    assert (look.unread_ended, look.unread_running) == (3, 0)


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[]", b'{"clock_ms":"x"}', b"[" * 9000]
)
def test_an_answer_that_cannot_be_read_is_none(body):
    assert look_of(body).reply.kind is ReplyKind.UNSURE


@SETTINGS
@given(rows=st.lists(JSON | st.just(ROW) | st.just(END), max_size=6))
def test_any_rows_are_read_or_counted(rows):
    for parse in (parse_running, parse_ended, parse_vm_row):
        parsed, unread = parse_rows(parse, rows)
        assert len(parsed) + unread == len(rows)


class HidingMinion(MemoryMinion):
    """Shows its runs in rows that cannot be read."""

    def look(self, order, seconds):
        look = super().look(order, seconds)
        return replace(look, running=(), unread_running=len(look.running))


def test_a_run_that_a_strange_row_may_hide_goes_on():
    minion = HidingMinion(task_seconds=0.8)
    rig = Rig(minion, connect=lambda record: minion)
    try:
        rig.submit(Step(1))
        rig.wait_status(JobStatus.SUCCEEDED)
        assert len(minion.begun) == 1
    finally:
        rig.close()


# The platform's list of VMs, and members of the group.


def list_of(*pages):
    client = CloudClient("127.0.0.1:1")
    answers = [
        Answer(200, [], page if isinstance(page, bytes) else encode(page))
        for page in pages
    ]
    client.call = lambda *arguments: answers.pop(0)
    return client.list_vms(1.0)


@pytest.mark.parametrize(
    "entry",
    [
        {name: value for name, value in VM.items() if name != "pool"},
        {**VM, "machine": 7},
        {**VM, "state": "molten"},
        {**VM, "labels": "a"},
        None,
        "m-1",
    ],
    ids=str,
)
def test_a_strange_entry_of_the_list_hides_no_other(entry):
    second = {**VM, "machine": "m-2"}
    listed = list_of(
        {"machines": [entry, VM], "next_token": "t"}, {"machines": [second]}
    )
    assert [row.vm for row in listed.rows] == ["m-1", "m-2"]
    assert listed.unread == 1


@pytest.mark.parametrize("page", [b"", b"\xff", {"machines": 5}, []])
def test_a_page_that_cannot_be_read_is_no_list(page):
    assert list_of(page) is None


@SETTINGS
@given(data=st.binary())
def test_any_members_are_read_or_a_typed_error(data):
    try:
        decode_rows(data)
    except HingepitchError as error:
        assert error.code == "bad_request"
