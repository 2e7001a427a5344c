"""Calls that hand in a job and are passed on after their caller has cancelled it."""

import json
import random
import signal
import socket
import time

import gevent
import pytest

from hingepitch.error import HingepitchError
from hingepitch.jobs import command as commands, knownindex, tombstone
from hingepitch.jobs.accounts.account import digest_key
from hingepitch.jobs.knownindex import KnownIndex
from hingepitch.jobs.question import AskCancel, GiveJob, encode
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.roster import MinionRoster
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import JobSpec, Step
from hingepitch.model import state as state_module
from hingepitch.model.state import State
from standin.cluster import http_call, wait_for
from standin.site import HOST, Site
from tests.test_accounts import CLINIC, KEY, LAB, OTHER_KEY, account_config
from tests.test_dispatch import SingleReplica
from tests.test_job_rules import JOB, Log, make_config

SPEC = JobSpec("text", (Step(1),))

#: Of the users' deployments: how long after the answer to a cancelling a task may still
#: start, and how long it may then take to stop, in seconds.
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.4

#: How long an entry is frozen, in seconds: longer than its caller waits.
FREEZE_SECONDS = 4.0
WAIT_SECONDS = 3.0

SEEDS = range(30)
STEPS = 400


def path_of(job):
    return f"/q/{job}"


def accept(job=JOB, known_index=None, key=None, path=None):
    return commands.AcceptJob(
        job, HOST, path or path_of(job), SPEC, 0, key, known_index
    )


def cancel(job=JOB, key=None, path=None):
    return commands.CancelUnknownJob(job, 0, HOST, path or path_of(job), key)


@pytest.fixture
def log():
    made = Log()
    made.send(commands.PutQueues(make_config()))
    return made


@pytest.fixture
def account_log():
    made = Log()
    made.send(commands.PutAccountQueues(account_config(8, CLINIC, LAB)))
    return made


@pytest.fixture
def service(log):
    return JobService(SingleReplica(log), MinionRoster(), None, "test")


def age(log, generations):
    """Begin generations of tombstones, as a leader does at intervals."""
    for _ in range(generations):
        assert log.send(commands.AgeTombstones()) == ""


# Guards against a job that is accepted by a call from before its cancelling.
@pytest.mark.parametrize("known_index", [None, 0, 1])
def test_a_call_from_before_the_cancelling_is_refused(log, known_index):
    assert log.send(cancel()) == ""
    for _ in range(2):
        assert log.send(accept(known_index=known_index)) == "job_cancelled"
    assert not log.table.job_by_id


# Guards against a caller that can never hand in a job that it has cancelled.
def test_a_call_of_an_entry_that_knew_of_the_cancelling_is_accepted(log):
    log.send(cancel())
    assert log.send(accept(known_index=log.index)) == ""


# Guards against a later cancelling that an earlier tombstone of the job hides.
def test_a_second_cancelling_refuses_the_calls_between(log):
    log.send(cancel())
    between = log.index
    log.send(cancel())
    assert log.send(accept(known_index=between)) == "job_cancelled"


# Guards against an old call that is accepted as soon as its tombstone is dropped.
def test_a_call_older_than_a_dropped_tombstone_is_refused(log):
    before = log.index
    log.send(cancel())
    cancelled_at = log.index
    age(log, tombstone.KEPT_GENERATIONS)
    assert log.send(accept(known_index=before)) == "job_cancelled"
    age(log, 1)
    assert not log.table.tombstones.tombstone_by_call
    assert log.send(accept(known_index=before)) == "stale_call"
    assert log.send(accept("b" * 16, known_index=before)) == "stale_call"
    assert log.send(accept(known_index=cancelled_at)) == ""


# Guards against memory that is filled with cancelled ids that never existed, and
# against a flood of them that lets an earlier tombstone be forgotten.
def test_a_flood_of_cancellings_is_bounded_and_forgets_nothing(log, monkeypatch):
    monkeypatch.setattr(tombstone, "MAX_TOMBSTONES", 50)
    before = log.index
    log.send(cancel())
    for number in range(200):
        log.send(cancel(f"f{number:015x}"))
    assert len(log.table.tombstones.tombstone_by_call) == 50
    assert log.send(accept(known_index=before)) == "stale_call"
    assert log.send(accept("b" * 16, known_index=log.index)) == ""


# Guards against somebody who cancels the job of another account before it is accepted.
def test_the_cancelling_of_a_stranger_refuses_nobody_else(account_log):
    stranger, owner = digest_key(OTHER_KEY.encode()), digest_key(KEY.encode())
    known_index = account_log.index
    assert account_log.send(cancel(key=stranger)) == ""
    assert account_log.send(cancel(key=digest_key(b"nobody"))) == "unauthenticated"
    assert account_log.send(cancel(path=f"/open/{JOB}")) == ""
    accepted = accept(known_index=known_index, key=owner)
    assert account_log.send(accept(known_index=known_index, key=stranger)) == (
        "job_cancelled"
    )
    assert account_log.send(accepted) == ""


# Guards against a cancelling that another account's job of the same id hides: the
# caller was told that there is no such job.
def test_a_job_of_another_account_leaves_a_tombstone(account_log):
    stranger, owner = digest_key(OTHER_KEY.encode()), digest_key(KEY.encode())
    known_index = account_log.index
    account_log.send(accept(known_index=known_index, key=owner))
    assert account_log.send(cancel(key=stranger)) == ""
    assert account_log.table.job_by_id[JOB].is_open
    assert account_log.table.tombstones.tombstone_by_call


# Guards against a cancelling that finds its job accepted meanwhile and lets it run.
def test_a_job_that_became_known_meanwhile_is_cancelled(log):
    log.send(accept(known_index=log.index))
    assert log.send(cancel()) == ""
    assert log.status is JobStatus.CANCELLED
    assert not log.table.tombstones.is_used


# Guards against tombstones that a snapshot, and so a restart or a new replica, loses.
@pytest.mark.parametrize("generations", [0, 3, tombstone.KEPT_GENERATIONS + 1])
def test_a_snapshot_has_the_tombstones(log, generations):
    log.send(cancel())
    age(log, generations)
    data = log.state.to_snapshot()
    read = State.from_snapshot(data)
    assert vars(read.jobs.tombstones) == vars(log.table.tombstones)
    assert read.to_snapshot() == data


# Guards against a replica of an earlier version that drops the tombstones and leads.
def test_an_earlier_version_refuses_a_snapshot_with_tombstones(log, monkeypatch):
    known = state_module.KNOWN_FEATURES - {state_module.TOMBSTONES_FEATURE}
    before = log.state.to_snapshot()
    log.send(cancel())
    monkeypatch.setattr(state_module, "KNOWN_FEATURES", known)
    State.from_snapshot(before)
    with pytest.raises(HingepitchError, match="unknown features: tombstones"):
        State.from_snapshot(log.state.to_snapshot())


# Guards against an answer to a cancelling that leaves no tombstone, and against a code
# that an entry of an earlier version cannot answer with.
@pytest.mark.parametrize(
    "known_index, code", [(0, "job_cancelled"), (None, "unknown_job")]
)
def test_the_service_refuses_a_call_from_before_its_answer(service, known_index, code):
    give = GiveJob(JOB, HOST, path_of(JOB), SPEC, known_index=known_index)
    with pytest.raises(HingepitchError) as caught:
        service.answer(AskCancel(JOB, HOST, path_of(JOB)))
    assert caught.value.code == "unknown_job"
    with pytest.raises(HingepitchError) as caught:
        service.answer(give)
    assert caught.value.code == code
    assert not service.table.job_by_id


# Guards against a known job whose cancelling is refused or leaves a tombstone.
def test_the_service_cancels_a_known_job(service):
    service.answer(GiveJob(JOB, HOST, path_of(JOB), SPEC, known_index=0))
    for _ in range(2):
        service.answer(AskCancel(JOB, HOST, path_of(JOB)))
    assert service.table.job_by_id[JOB].status is JobStatus.CANCELLED
    assert not service.table.tombstones.is_used


class IndexGroup:
    """Group client whose replica has applied the log up to `index`."""

    def __init__(self, index):
        self.index = index

    def call_once(self, method, data):
        return encode(self.index)


# Guards against an entry that learns of a cancelling after a freeze and takes a call
# that waited in its socket meanwhile for a later one.
def test_a_call_that_waited_out_a_freeze_has_the_index_from_before(monkeypatch):
    now = 100.0
    monkeypatch.setattr(knownindex, "lease_seconds", lambda: now)
    group = IndexGroup(1)
    known = KnownIndex(group)
    for _ in range(20):
        known.refresh()
        group.index += 1
        now += knownindex.REFRESH_SECONDS
    before = group.index
    now += 600.0
    group.index = 5000
    known.refresh()
    assert known.before_call(now + 0.1) < before
    assert known.before_call(now + knownindex.MAX_UNREAD_SECONDS) == 5000


# Guards against an entry that takes no calls until its first index is old.
def test_the_first_index_after_a_start_is_used_at_once():
    known = KnownIndex(IndexGroup(7))
    with pytest.raises(HingepitchError):
        known.wait(0.0)
    known.refresh()
    known.wait(0.0)
    assert known.before_call(knownindex.lease_seconds()) == 7


# Guards against a group of an earlier version that an entry of this one cannot call.
def test_a_group_that_does_not_tell_its_index_is_called_all_the_same():
    def refuse(method, data):
        raise HingepitchError("bad_request", "invalid request: unknown tag")

    group = IndexGroup(0)
    group.call_once = refuse
    known = KnownIndex(group)
    known.refresh()
    known.wait(0.0)
    assert known.before_call(knownindex.lease_seconds()) is None


class CallsByLot:
    """Callers that hand in and cancel jobs, in an order drawn by lot.

    Their calls wait for any time between being read by an entry and being applied.

    `waiting`
        The calls that are yet to be applied, each with the number of cancellings of
        its job that were answered before it was made.
    `answered_by_job`
        How many cancellings of each job were answered.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.log = Log()
        self.log.send(commands.PutQueues(make_config()))
        self.jobs = [f"{number:016x}" for number in range(6)]
        self.answered_by_job = dict.fromkeys(self.jobs, 0)
        self.waiting = []
        self.violations = []

    def step(self):
        action = self.rng.choices(
            (self.call, self.apply_call, self.cancel, self.age, self.restore),
            weights=(8, 8, 3, 6, 1),
        )[0]
        action()

    def call(self):
        """Let an entry read a call; it may have known an earlier index already."""
        job = self.rng.choice(self.jobs)
        known_index = max(0, self.log.index - self.rng.randrange(3))
        self.waiting.append((accept(job, known_index), self.answered_by_job[job]))

    def apply_call(self):
        if not self.waiting:
            return
        at = self.rng.randrange(len(self.waiting))
        command, answered = self.waiting.pop(at)
        is_known = command.id in self.log.table.job_by_id
        code = self.log.send(command)
        if not code and not is_known and answered < self.answered_by_job[command.id]:
            self.violations.append(command)
        if not code:
            self.end_and_forget(command.id)

    def end_and_forget(self, job):
        """Let an accepted job end and be forgotten, so that its id is free again."""
        table = self.log.table
        if table.job_by_id[job].is_open:
            table.end_job(table.job_by_id[job], JobStatus.SUCCEEDED, 0)
        table.ended_jobs.pop(job, None)
        del table.job_by_id[job]
        self.answered_by_job[job] = 0
        self.waiting = [one for one in self.waiting if one[0].id != job]

    def cancel(self):
        job = self.rng.choice(self.jobs)
        self.log.send(cancel(job))
        self.answered_by_job[job] += 1

    def age(self):
        self.log.send(commands.AgeTombstones())

    def restore(self):
        self.log.state = State.from_snapshot(self.log.state.to_snapshot())


# Guards against an order of calls, cancellings, generations and restarts in which a
# call from before an answered cancelling brings its job about.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_order_brings_a_cancelled_job_about(monkeypatch, seed):
    monkeypatch.setattr(tombstone, "KEPT_GENERATIONS", 2)
    monkeypatch.setattr(tombstone, "MAX_TOMBSTONES", 3)
    lots = CallsByLot(seed)
    for _ in range(STEPS):
        lots.step()
    assert lots.violations == []


class SessionStub:
    """Session that counts the commands proposed."""

    def __init__(self, table):
        self.table = table
        self.proposed = []

    def propose(self, command):
        self.proposed.append(command)


# Guards against tombstones that are never dropped, and entries of the log while there
# are none.
def test_generations_are_proposed_while_there_are_tombstones(log, monkeypatch):
    monkeypatch.setattr(tombstone, "GENERATION_SECONDS", 0.01)
    session = SessionStub(log.table)
    ager = gevent.spawn(tombstone.TombstoneAger(session).run)
    try:
        gevent.sleep(0.05)
        assert not session.proposed
        log.send(cancel())
        gevent.sleep(0.05)
        assert commands.AgeTombstones() in session.proposed
    finally:
        ager.kill()


@pytest.fixture
def site():
    with Site(task_seconds=60) as made:
        made.start()
        assert made.put_config(1) == 200
        yield made


def send_job(site, entry, job):
    """Send a call that hands in a job, and wait in vain; return the open connection."""
    body = json.dumps({"spec": "text", "steps": [{"count": 2, "cpu": 500}]}).encode()
    head = (
        f"POST {path_of(job)} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Deadline-Ms: 3000\r\n\r\n"
    )
    connection = socket.create_connection((entry, site.port), WAIT_SECONDS)
    connection.sendall(head.encode() + body)
    with pytest.raises(TimeoutError):
        connection.recv(1)
    return connection


# Guards against a job that an entry hands in after its caller was told that it does not
# exist: the entry was frozen, and the group may have restarted meanwhile.
@pytest.mark.parametrize(
    "killed, is_open",
    [("nothing", False), ("nothing", True), ("leader", True), ("core", True)],
)
def test_a_frozen_entry_starts_no_job_that_its_caller_cancelled(site, killed, is_open):
    frozen, other = site.entry_ips
    process = site.process_by_ip[frozen]
    wait_for(lambda: site.call("GET", path_of(JOB))[0] == 410, what="the entries")
    process.signal(signal.SIGSTOP)
    stopped_at = time.monotonic()
    connection = send_job(site, frozen, JOB)
    if not is_open:
        connection.close()
    address = f"{other}:{site.port}"
    status, _, _ = http_call(address, "DELETE", path_of(JOB), None, {"Host": HOST}, 4)
    assert status == 410
    cancelled_at = time.monotonic()
    restart(site, killed)
    time.sleep(max(0.0, stopped_at + FREEZE_SECONDS - time.monotonic()))
    process.signal(signal.SIGCONT)
    thawed_at = time.monotonic()
    until = max(cancelled_at, thawed_at + WAIT_SECONDS) + CANCEL_SECONDS + STOP_SECONDS
    time.sleep(max(0.0, until - time.monotonic()))
    connection.close()
    assert site.events() == []
    assert site.call("GET", path_of(JOB))[0] == 410


def restart(site, killed):
    """Kill nothing, the leader or all control replicas, and start them again."""
    if killed == "leader":
        site.restart(wait_for(site.leader, what="a leader"))
    elif killed == "core":
        site.kill(*site.control_ips)
        for ip in site.control_ips:
            site.restart(ip)
