"""Test what the daemons share: supervisor, admission, group client, state feeds."""

import gevent
import pytest
from gevent.event import AsyncResult

from hingepitch.admin import client as admin_client
from hingepitch.admin.client import AdminClient, AdminSettings
from hingepitch.commandclient import may_resend
from hingepitch.control.admission import Admission, PendingCommand
from hingepitch.control.member import losses_left
from hingepitch.control.roster import EntryRoster
from hingepitch.error import HingepitchError
from hingepitch.group import TRANSIENT_CODES, GroupClient
from hingepitch.model.command import Envelope, PutPool, Role
from hingepitch.model.record import Pool
from hingepitch.model.state import State
from hingepitch.setting import load_settings
from hingepitch.supervisor import Supervisor
from tests.test_bad_input import EXAMPLES


def test_example_of_the_operators_settings_is_valid():
    assert load_settings(AdminSettings, EXAMPLES / "admin.yaml").token


class FailingChild:
    """Child that fails `times` times, then succeeds."""

    def __init__(self, times, error=ValueError):
        self.times = times
        self.error = error
        self.runs = 0
        self.alive = AsyncResult()

    def run(self):
        self.runs += 1
        if self.runs <= self.times:
            raise self.error
        self.alive.set(True)


def test_failed_child_is_restarted():
    stopped = []
    supervisor = Supervisor(stopped.append)
    child = FailingChild(2)
    supervisor.start("child", child.run)
    assert child.alive.get(timeout=5)
    assert child.runs == 3
    assert stopped == []


def test_child_at_its_failure_limit_stops_the_process():
    stopped = AsyncResult()
    supervisor = Supervisor(stopped.set, max_failures=3)
    supervisor.start("child", FailingChild(99).run)
    assert stopped.get(timeout=5) is False


def test_broken_invariant_stops_the_process_at_once():
    stopped = AsyncResult()
    supervisor = Supervisor(stopped.set)
    child = FailingChild(99, HingepitchError("storage_damaged"))
    supervisor.start("child", child.run)
    assert stopped.get(timeout=5) is True
    assert child.runs == 1


def test_neither_partner_starves_the_other():
    admission = Admission()
    for number in range(100):
        admission.put("left", PendingCommand(b"left", number))
    admission.put("right", PendingCommand(b"right", 0))
    assert b"right" in [waiting.payload for waiting in admission.take(4)]


def test_full_lane_refuses_at_once_and_only_its_partner():
    admission = Admission(max_waiting=2)
    for _ in range(2):
        admission.put("left", PendingCommand(b"", None))
    with pytest.raises(HingepitchError) as caught:
        admission.put("left", PendingCommand(b"", None))
    assert caught.value.code == "queue_full"
    assert caught.value.retry_after_ms
    admission.put("right", PendingCommand(b"", None))


def test_admission_serves_lanes_round_robin():
    admission = Admission()
    for _ in range(3):
        for lane in ("left", "right", "planner"):
            admission.put(lane, PendingCommand(lane, None))
    order = [admission.take(1)[0].payload for _ in range(6)]
    assert order == ["left", "right", "planner", "left", "right", "planner"]


def test_new_leader_waits_for_the_leases_of_its_predecessor():
    roster = EntryRoster(lease_seconds=3.0)
    roster.take_over(100.0)
    assert not roster.is_in_force(["e1"], 5, 102.0)
    assert roster.is_in_force(["e1"], 5, 103.2)
    roster.record_report("e1", 5, {})
    roster.renew_lease("e1", 103.2)
    assert roster.is_in_force(["e1"], 5, 103.3)
    assert not roster.is_in_force(["e1"], 6, 103.3)


def test_drain_waits_for_the_longest_request_of_an_expired_entry():
    roster = EntryRoster(lease_seconds=3.0)
    roster.take_over(100.0)
    assert not roster.is_drained(["e1"], "v", 5, 104.0, 2.0)
    assert roster.is_drained(["e1"], "v", 5, 105.2, 2.0)
    roster.record_report("e1", 5, {"v": 1})
    roster.renew_lease("e1", 106.0)
    assert not roster.is_drained(["e1"], "v", 5, 106.1, 2.0)
    roster.record_report("e1", 5, {})
    assert roster.is_drained(["e1"], "v", 5, 106.1, 2.0)


@pytest.mark.parametrize(
    "voters, alive, left",
    [(3, 3, 1), (3, 2, 0), (5, 5, 2), (5, 4, 1), (5, 2, 0), (7, 6, 2)],
)
def test_losses_left_keep_a_quorum(voters, alive, left):
    names = [f"c{number}" for number in range(voters)]
    assert losses_left(names, names[:alive]) == left


@pytest.mark.parametrize(
    "code, with_id, expected",
    [
        ("not_leader", False, True),
        ("peer_unreachable", False, True),
        ("peer_failed", False, False),
        ("peer_failed", True, True),
        ("lost_leadership", True, True),
        ("queue_full", True, False),
    ],
)
def test_only_commands_with_an_id_are_resent_after_a_lost_answer(
    code, with_id, expected
):
    envelope = Envelope(Role.OPERATOR, "p", "o", PutPool("x"), "id" * with_id)
    assert may_resend(envelope, HingepitchError(code)) is expected


def test_unconfigured_leader_is_asked_after_the_configured_replicas():
    group = GroupClient(["127.0.0.1:1", "127.0.0.1:2"], "n", "k")
    asked = []
    for _ in range(3):
        asked.append(group.preferred)
        group.prefer_next_replica(group.preferred, "127.0.0.1:9")
    assert asked == ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1"]
    assert group.preferred == "127.0.0.1:9"


def test_follower_far_behind_gets_the_full_state(monkeypatch):
    monkeypatch.setattr("hingepitch.model.state.MAX_FEED_CHANGES", 3)
    state = State()
    for number in range(1, 7):
        name = f"p{number}"
        state.put("pool", name, Pool(name, "left"), number)
    state.drop("pool", "p6", 7)
    assert state.changes_since("routing", 5)[1:] == (
        False,
        [("pool", "p6", None)],
    )
    version, full, changes = state.changes_since("routing", 1)
    assert (version, full) == (7, True)
    assert [name for _, name, _ in changes] == ["p1", "p2", "p3", "p4", "p5"]
    copy = State()
    copy.put("pool", "gone", Pool("gone", "left"), 1)
    copy.apply_changes(changes, version, full)
    assert copy.by_kind == state.by_kind


def test_stopped_supervisor_leaves_no_greenlet():
    supervisor = Supervisor(lambda broken: None)
    supervisor.start("child", gevent.sleep)
    supervisor.stop()
    assert supervisor.greenlet_by_name == {}


def test_the_admin_client_retries_after_every_transient_code(monkeypatch):
    codes = sorted(TRANSIENT_CODES)
    client = AdminClient(
        AdminSettings(control=["127.0.0.1:1", "127.0.0.1:2"], token="t" * 16)
    )
    asked = []

    def call_replica(address, method, path, body=None):
        asked.append(address)
        if len(asked) <= len(codes):
            raise HingepitchError(codes[len(asked) - 1])
        return {"version": 1}

    monkeypatch.setattr(client, "call_replica", call_replica)
    monkeypatch.setattr(admin_client, "RETRY_PAUSE_SECONDS", 0.0)
    assert client.command(put={}) == {"version": 1}
    assert len(asked) == len(codes) + 1
