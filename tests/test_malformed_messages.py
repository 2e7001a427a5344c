"""Test that malformed messages of other programs do not affect valid ones.

Guards against a leader that dispatches nothing for the rest of a day, fails all
requests and does not restart expired long-running tasks. This happens if a heartbeat
with an address that cannot be called is committed as a minion: creating its client
raises an error in the leader's loop and ends the session, and each later session and
leader fails on the same record.
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
from hingepitch.jobs.agents.contact import ReplyKind
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from hingepitch.peerregistry import decode_members
from hingepitch.request import Answer
from standin.taskminion import TaskMinion
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import JOB, make_minion, task
from tests.test_platform import CONFIG, HEARTBEAT, ApiHarness

#: Values that another program may send in a field.
MALFORMED_VALUES = (None, True, -1, "x", [], {}, 1.5)

RUNNING_ROW = [f"{JOB}.0.0.1", 2, "saved", 41, 7]
ENDED_ROW = [58, f"{JOB}.0.1.9", 3, "lapsed", "half"]
VM_ENTRY = {"machine": "m-1", "pool": "p", "state": "up", "zone": "h", "labels": ["a"]}

#: Answers that cannot be decoded at all.
UNREADABLE = (b"", b"\xff", b"[]", b'{"clock_ms":"x"}', b"[" * 9000)

HYPOTHESIS_SETTINGS = settings(max_examples=200, derandomize=True, deadline=None)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.sampled_from([*HEARTBEAT, *VM_ENTRY]), inner, max_size=6)
    ),
    max_leaves=12,
)


@pytest.fixture
def rig():
    made = DispatchHarness(TaskMinion(task_seconds=0.05), connect=HttpMinion)
    yield made
    made.close()


@pytest.fixture
def system():
    made = ApiHarness()
    assert made.put_config(CONFIG) == 200
    return made


@pytest.mark.parametrize("address", ["not an address", "", "10.0.0.1:none", "::1"])
def test_minion_that_cannot_be_called_holds_up_no_other_minion(rig, address):
    uncallable_minion = make_minion(9, id="stranger", address=address)
    rig.log.send(commands.RegisterMinion(uncallable_minion, 0))
    rig.submit(Step(2))
    rig.wait_status(JobStatus.SUCCEEDED)


def test_task_of_an_uncallable_minion_runs_again(rig):
    uncallable_minion = make_minion(9, id="stranger", address="nowhere")
    rig.log.send(commands.RegisterMinion(uncallable_minion, 0))
    rig.log.submit(Step(1))
    assert rig.log.start(task(), minion="stranger") == [True]
    rig.replica.wake()
    rig.wait_status(JobStatus.SUCCEEDED)
    assert "stranger" not in rig.log.table.minion_by_id


def test_incarnation_with_a_corrected_address_is_called_again(rig):
    minion = rig.minions[0]
    good = rig.log.table.minion_by_id[minion.life]
    session = wait_for_session(rig)
    session.agents.uncallable["later"] = "nowhere"
    record = replace(good, id="later", vm="vm-later")
    assert session.agents.start_agent(record) is not None


def wait_for_session(rig):
    assert wait_until(lambda: rig.dispatcher.session is not None, SECONDS)
    return rig.dispatcher.session


def make_malformed_heartbeats():
    for field in ("service", "address", "zone", "state", "seq", "capacity", "labels"):
        for value in MALFORMED_VALUES:
            if field == "labels" and value == []:
                continue  # Labels are optional.
            if field in ("service", "zone") and value == "x":
                continue  # Valid, or an unknown pool.
            if field == "capacity" and value == {}:
                continue  # Valid: the minion has no capacity.
            yield {**HEARTBEAT, field: value}
    for field in ("service", "address", "zone", "state", "seq", "capacity"):
        yield {name: value for name, value in HEARTBEAT.items() if name != field}
    yield {**HEARTBEAT, "state": "molten"}
    yield {**HEARTBEAT, "address": "127.0.0.1:99999"}
    yield {**HEARTBEAT, "capacity": {"cpu": "many"}}
    yield {**HEARTBEAT, "labels": ["a", 5]}


MALFORMED_HEARTBEATS = tuple(make_malformed_heartbeats())


@pytest.mark.parametrize("heartbeat", MALFORMED_HEARTBEATS, ids=str)
def test_a_strange_heartbeat_makes_no_minion(system, heartbeat):
    answer = system.control.simulate_put("/-/instances/i-9", body=json.dumps(heartbeat))
    assert answer.status_code == 400
    assert "i-9" not in system.log.table.minion_by_id


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[1]", b"{", b"[" * 10_000])
def test_unreadable_heartbeat_registers_no_minion(system, body):
    answer = system.control.simulate_put("/-/instances/i-9", body=body)
    assert answer.status_code == 400
    assert not system.log.table.minion_by_id


def test_minion_of_an_unknown_pool_is_refused(system):
    assert system.heartbeat("i-9", service="nobody").status_code == 400
    assert "i-9" not in system.log.table.minion_by_id


@pytest.mark.parametrize("heartbeat", MALFORMED_HEARTBEATS, ids=str)
def test_malformed_heartbeat_neither_renews_nor_ends_an_incarnation(system, heartbeat):
    assert system.heartbeat("i-1").status_code == 200
    before = system.log.table.minion_by_id["i-1"]
    system.control.simulate_put("/-/instances/i-1", body=json.dumps(heartbeat))
    assert system.log.table.minion_by_id == {"i-1": before}
    assert system.heartbeat("i-1", seq=5, state="draining").status_code == 200
    assert system.log.table.minion_by_id["i-1"].is_draining


@HYPOTHESIS_SETTINGS
@given(body=JSON_VALUES.map(lambda value: json.dumps(value).encode()) | st.binary())
def test_any_heartbeat_body_is_decoded_or_raises_bad_request(body):
    try:
        decode_heartbeat("i-1", body)
    except HingepitchError as error:
        assert error.code == "bad_request"


def poll_result_of(body):
    minion = HttpMinion(make_minion(1))
    answer = Answer(200, [], encode(body))
    return minion.decode_poll_reply(answer, reply_of(answer))


def encode(body):
    return body if isinstance(body, bytes) else json.dumps(body).encode()


@pytest.mark.parametrize("at", range(4))
@pytest.mark.parametrize("value", [None, True, [], {}])
def test_unreadable_running_row_does_not_hide_other_rows(at, value):
    malformed = [*RUNNING_ROW[:at], value, *RUNNING_ROW[at + 1 :]]
    body = {
        "clock_ms": 1,
        "running": [malformed, RUNNING_ROW, 5, RUNNING_ROW[:2]],
        "finished": [],
    }
    result = poll_result_of(body)
    assert result.running == (parse_running(RUNNING_ROW),)
    assert result.unread_running == 3


@pytest.mark.parametrize("at", range(5))
def test_unreadable_ended_row_does_not_hide_other_rows(at):
    malformed = [*ENDED_ROW[:at], {}, *ENDED_ROW[at + 1 :]]
    unknown = [*ENDED_ROW[:3], "molten", ""]
    result = poll_result_of(
        {"clock_ms": 1, "finished": [malformed, unknown, ENDED_ROW, None]}
    )
    assert result.ended == (parse_ended(ENDED_ROW),)
    assert (result.unread_ended, result.unread_running) == (3, 0)


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[]", b'{"clock_ms":"x"}', b"[" * 9000]
)
def test_unreadable_poll_reply_counts_as_no_reply(body):
    assert poll_result_of(body).reply.kind is ReplyKind.UNSURE


@HYPOTHESIS_SETTINGS
@given(
    rows=st.lists(JSON_VALUES | st.just(RUNNING_ROW) | st.just(ENDED_ROW), max_size=6)
)
def test_any_rows_are_parsed_or_counted(rows):
    for parse in (parse_running, parse_ended, parse_vm_row):
        parsed, unread = parse_rows(parse, rows)
        assert len(parsed) + unread == len(rows)


class UnreadableRowsMinion(MemoryMinion):
    """Minion whose status polls list its runs in unreadable rows only."""

    def look(self, order, seconds):
        result = super().look(order, seconds)
        return replace(result, running=(), unread_running=len(result.running))


def test_run_that_an_unreadable_row_may_hide_is_not_restarted():
    minion = UnreadableRowsMinion(task_seconds=0.8)
    rig = DispatchHarness(minion, connect=lambda record: minion)
    try:
        rig.submit(Step(1))
        rig.wait_status(JobStatus.SUCCEEDED)
        assert len(minion.begun) == 1
    finally:
        rig.close()


def list_vms_of(*pages):
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
        {name: value for name, value in VM_ENTRY.items() if name != "pool"},
        {**VM_ENTRY, "machine": 7},
        {**VM_ENTRY, "state": "molten"},
        {**VM_ENTRY, "labels": "a"},
        None,
        "m-1",
    ],
    ids=str,
)
def test_malformed_vm_entry_does_not_hide_other_entries(entry):
    second = {**VM_ENTRY, "machine": "m-2"}
    listed = list_vms_of(
        {"machines": [entry, VM_ENTRY], "next_token": "t"}, {"machines": [second]}
    )
    assert [row.vm for row in listed.rows] == ["m-1", "m-2"]
    assert listed.unread == 1


@pytest.mark.parametrize("page", [b"", b"\xff", {"machines": 5}, []])
def test_unreadable_page_yields_no_list(page):
    assert list_vms_of(page) is None


@HYPOTHESIS_SETTINGS
@given(data=st.binary())
def test_any_member_list_is_decoded_or_raises_bad_request(data):
    try:
        decode_members(data)
    except HingepitchError as error:
        assert error.code == "bad_request"
