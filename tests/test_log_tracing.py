"""Test that log lines lead from a job id to the cause of a wait, failure or refusal.

The documentation promises that no other source is needed.
"""

import re
from datetime import datetime

import pytest

from standin.cluster import http_call, wait_for
from standin.site import FAILING_PREFIX, HOST, Site

PAIR = re.compile(r"(\w+)=(\S+)")


@pytest.fixture(scope="module")
def site():
    with Site(controls=3, entries=1, minions=2, task_seconds=0.3) as made:
        made.start()
        assert made.put_config(1) == 200
        yield made


def lines_of(site, job):
    """Return the log lines about a job from all processes, as dicts, by time."""
    lines = [
        dict(PAIR.findall(line))
        for process in site.process_by_ip.values()
        for line in process.log().splitlines()
        if f"job={job}" in line
    ]
    return sorted(lines, key=lambda line: line["time"])


def wait_for_lines(site, job, event, count=1, **fields):
    wanted = {"event": event, **fields}.items()

    def found():
        lines = [one for one in lines_of(site, job) if wanted <= one.items()]
        return lines if len(lines) >= count else None

    try:
        return wait_for(found, what=f"{count} lines {event}")
    except TimeoutError as error:
        raise AssertionError(f"{error}\n{diagnostics_of(site, job, event)}") from None


#: Events of a change of leader, and of lines that were not written.
DIAGNOSTIC_EVENTS = re.compile(
    r"event=(role_changed|session_\w+|leader_\w+|lines_\w+|child_failed)"
)


def diagnostics_of(site, job, event):
    """Return log lines that may explain why expected lines are missing."""
    lines = lines_of(site, job)
    tasks = [one.get("task") for one in lines if one["event"] == event]
    log = [
        line
        for process in site.process_by_ip.values()
        for line in process.log().splitlines()
        if DIAGNOSTIC_EVENTS.search(line)
    ]
    return "\n".join([f"{len(tasks)} lines, of {sorted(set(tasks))}", *sorted(log)])


def seconds_between(first, second):
    times = [datetime.fromisoformat(line["time"]) for line in (first, second)]
    return (times[1] - times[0]).total_seconds()


def test_log_shows_that_a_job_waited_for_capacity(site):
    job = f"{1:016x}"
    assert site.submit(job, 100) == 200, "more tasks than the minions have capacity for"
    wait_for(lambda: site.state(job) == "succeeded", what="the end of the job")
    accepted = wait_for_lines(site, job, "job_accepted")[0]
    started = wait_for_lines(site, job, "run_ordered", 100, reply="done")
    ended = wait_for_lines(site, job, "run_ended", 100, result="done")
    assert len({line["task"] for line in started}) == 100
    assert seconds_between(started[0], ended[0]) > 0, (
        "the first tasks found free capacity"
    )
    assert seconds_between(ended[0], started[-1]) > 0, "the last tasks waited for it"
    first_wait = seconds_between(accepted, started[0])
    assert first_wait < seconds_between(started[0], started[-1])


def test_log_shows_each_attempt_of_a_failed_job(site):
    job = FAILING_PREFIX.ljust(16, "0")
    assert site.submit(job, 1) == 200
    wait_for(lambda: site.state(job) == "failed", what="the failure")
    ends = wait_for_lines(site, job, "run_ended", 3)
    assert [(line["run"], line["result"]) for line in ends] == [
        ("1", "failed"),
        ("2", "failed"),
        ("3", "failed"),
    ]
    assert all(line["minion"].startswith("i-") for line in ends)


def test_log_shows_the_code_of_a_refused_job_and_the_lost_leader(site):
    job = f"{3:016x}"
    for ip in site.control_ips:
        site.process_by_ip[ip].kill()
    body = b'{"spec":"text","steps":[{"count":1}]}'
    address = f"{site.entry_ips[0]}:{site.port}"
    answer = http_call(address, "POST", f"/q/{job}", body, {"Host": HOST}, timeout=3)
    code = {503: "no_leader", 504: "deadline_passed"}[answer[0]]
    refused = wait_for_lines(site, job, "request_refused")[0]
    assert (refused["method"], refused["code"]) == ("POST", code)
    entry = site.process_by_ip[site.entry_ips[0]]
    wait_for(lambda: "event=leader_lost" in entry.log(), what="the lost leader")
    for ip in site.control_ips:
        site.restart(ip)
    wait_for(lambda: "event=leader_found" in entry.log(), what="the leader again")
