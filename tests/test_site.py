"""Test the system as real processes on a stub of the platform."""

import signal

import pytest

from adapter.settings import METRICS_PORT
from standin.cluster import http_call, wait_for
from standin.site import CRASHING_PREFIX, HOST, Site

CRASHING_JOB = f"{CRASHING_PREFIX}000000000001"

#: Most starts of a task that crashes its minions: three, and at most two more.
MAX_STARTS = 5

JOBS = [f"{number:016x}" for number in range(1, 31)]


@pytest.fixture
def site():
    with Site() as made:
        made.start()
        assert made.put_config(1) == 200
        yield made


def all_succeeded(site, jobs):
    return all(site.state(job) == "succeeded" for job in jobs)


def wait_until_succeeded(site, jobs):
    wait_for(lambda: all_succeeded(site, jobs), 40, "the end of all jobs")
    assert not site.doubled_tasks()


def test_jobs_survive_the_kill_of_the_leader_and_run_once(site):
    for job in JOBS[:10]:
        assert site.submit(job, 3, 2) == 200
    site.process_by_ip[site.leader()].kill()
    for job in JOBS[10:20]:
        assert site.submit(job, 3, 2) == 200
    wait_until_succeeded(site, JOBS[:20])


def scrape_metrics(ip):
    return http_call(f"{ip}:{METRICS_PORT}", "GET", "/metrics")[2].decode()


def test_leader_and_entries_export_counts_and_durations(site):
    for job in JOBS[:3]:
        assert site.submit(job, 2, 1) == 200
    wait_until_succeeded(site, JOBS[:3])
    exported = scrape_metrics(site.leader())
    assert 'hingepitch_runs_ended{program="control",result="done"} 9' in exported
    for name in ("first_start_seconds", "job_seconds", "commit_seconds"):
        assert f"hingepitch_{name}_bucket" in exported
    assert (
        'hingepitch_job_seconds_count{program="control",status="succeeded"} 3'
        in exported
    )
    entries = "".join(scrape_metrics(ip) for ip in site.entry_ips)
    assert 'hingepitch_call_seconds_count{method="POST",program="entry"}' in entries


def test_suspended_leader_runs_no_task_twice_when_it_resumes(site):
    for job in JOBS[:10]:
        assert site.submit(job, 3, 2) == 200
    paused = site.process_by_ip[site.leader()]
    paused.signal(signal.SIGSTOP)
    for job in JOBS[10:20]:
        assert site.submit(job, 3, 2) == 200
    paused.signal(signal.SIGCONT)
    wait_until_succeeded(site, JOBS[:20])


def test_all_controls_killed_at_once_lose_no_jobs_or_configuration(site):
    for job in JOBS[:10]:
        assert site.submit(job, 3, 2) == 200
    assert site.put_config(5, ("/q/", "/more/")) == 200
    for ip in site.control_ips:
        site.process_by_ip[ip].kill()
    for ip in site.control_ips:
        site.restart(ip)
    wait_until_succeeded(site, JOBS[:10])
    body = site.call_any_control("GET", "/-/config")[2]
    assert b'"version": 5' in body


def test_two_lost_disks_are_replaced_without_loss_of_jobs(site):
    for job in JOBS[:10]:
        assert site.submit(job, 3, 2) == 200
    lost = site.control_ips[:2]
    before = set(site.voters())
    for ip in lost:
        site.lose_disk(ip)
    for ip in lost:
        site.restart(ip)
    wait_for(lambda: len(set(site.voters()) - before) == 2, 40, "two new voters")
    assert len(site.voters()) == 5
    for ip in site.control_ips[2:4]:
        site.process_by_ip[ip].kill()
    for job in JOBS[10:12]:
        assert site.submit(job, 3) == 200
    wait_until_succeeded(site, JOBS[:12])


def test_crashing_job_fails_in_spite_of_restarts_of_all_controls(site):
    """The crash count must survive changes of leader, snapshots and restarts."""
    assert site.submit(CRASHING_JOB, 3) == 200
    for job in JOBS[:10]:
        assert site.submit(job, 3, 2) == 200
    crashing_task = f"{CRASHING_JOB}.0.0.0"
    wait_for(lambda: site.count_starts(crashing_task) >= 1, 20, "a first crash")
    site.process_by_ip[site.leader()].kill()
    wait_for(lambda: site.count_starts(crashing_task) >= 2, 30, "a second crash")
    for ip in site.control_ips:
        if site.is_running(ip):
            site.process_by_ip[ip].kill()
    for ip in site.control_ips:
        site.restart(ip)
    wait_for(lambda: site.state(CRASHING_JOB) == "failed", 40, "the failure of the job")
    assert site.count_starts(crashing_task) <= MAX_STARTS
    wait_until_succeeded(site, JOBS[:10])


def test_terminated_entry_is_not_ready_and_still_answers(site):
    ip = site.entry_ips[0]
    process = site.process_by_ip[ip]
    ready = f"{ip}:{site.ready_port}"
    assert http_call(ready, "GET", "/-/ready")[0] == 200
    process.signal(signal.SIGHUP)
    assert http_call(ready, "GET", "/-/ready")[0] == 200
    process.signal(signal.SIGTERM)
    wait_for(lambda: http_call(ready, "GET", "/-/ready")[0] == 503, what="not ready")
    call = http_call(f"{ip}:{site.port}", "GET", "/q/", headers={"Host": HOST})
    assert call[0] == 200
    assert call[1]["connection"] == "close"
    assert process.popen.wait(10) == 0


def test_reload_applies_seeds_and_refuses_invalid_settings(site):
    ip = site.entry_ips[0]
    process = site.process_by_ip[ip]
    path = site.folder / f"{ip}.yaml"
    path.write_text(path.read_text().replace(site.control_ips[0], site.control_ips[4]))
    process.signal(signal.SIGHUP)
    reloaded = f"event=settings_reloaded seeds={site.control_ips[4]}"
    wait_for(lambda: reloaded in process.log().replace('"', ""), what="the reload")
    path.write_text("node: 5\n")
    process.signal(signal.SIGHUP)
    wait_for(lambda: "event=settings_refused" in process.log(), what="the refusal")
    assert site.call("GET", "/q/")[0] == 200


def test_entry_without_controls_refuses_jobs_that_were_not_accepted(site):
    for ip in site.control_ips:
        site.process_by_ip[ip].kill()
    address = f"{site.entry_ips[0]}:{site.port}"
    body = b'{"spec":"text","steps":[{"count":1}]}'
    status, headers, _ = http_call(
        address, "POST", f"/q/{JOBS[0]}", body, {"Host": HOST}, timeout=3
    )
    assert status == 503
    assert {name.lower(): value for name, value in headers.items()}["retry-after"]
    for ip in site.control_ips:
        site.restart(ip)
    wait_for(site.leader, what="a leader")
    assert site.call("GET", f"/q/{JOBS[0]}")[0] == 410
