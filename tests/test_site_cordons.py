"""Orders to drain a hall on real processes, while leaders are lost."""

import signal
import time

import pytest

from standin.cluster import http_call, wait_for
from standin.site import Site

JOB = "00000000000000c1"

#: Longest time for the answer to one attempt, in seconds.
ANSWER_SECONDS = 1.0

#: Time for which a job has to wait to show that nothing starts, in seconds.
QUIET_SECONDS = 2.0


@pytest.fixture
def site():
    with Site(has_cordons=True) as made:
        made.start()
        assert made.put_config(1) == 200
        yield made


def order(site, ip, method, hall="hall-a"):
    """Send an order to a control replica; return the status code, or 0."""
    path = f"/-/evacuate/{hall}"
    try:
        return http_call(f"{ip}:{site.port}", method, path, timeout=ANSWER_SECONDS)[0]
    except OSError:
        return 0


def order_until_accepted(site, method):
    """Send an order to one replica after another until it is accepted."""

    def attempt():
        ips = [ip for ip in site.control_ips if ip not in site.down]
        return any(order(site, ip, method) == 200 for ip in ips)

    wait_for(attempt)


# Guards against orders that a running replica refuses or does not know, a cordon that
# is lost with the leader, and work that stays away once the hall is uncordoned.
def test_a_cordon_holds_through_a_change_of_leader(site):
    for ip in site.control_ips:
        assert order(site, ip, "POST", "nowhere") == 404
        assert order(site, ip, "POST") == 200
    assert order(site, site.control_ips[0], "POST", "hall-b") == 200
    site.process_by_ip[site.leader()].kill()
    assert site.submit(JOB, 2) == 200
    order_until_accepted(site, "POST")
    time.sleep(QUIET_SECONDS)
    assert site.state(JOB) == "pending"
    order_until_accepted(site, "DELETE")
    wait_for(lambda: site.state(JOB) == "succeeded")
    assert not site.doubled_tasks()


# Guards against an order that waits in the buffers of a suspended replica, and takes
# effect after its caller gave it up and a later opposite one was acknowledged.
def test_an_abandoned_order_of_a_suspended_replica_is_dropped(site):
    suspended = next(ip for ip in site.control_ips if ip != site.leader())
    process = site.process_by_ip[suspended]
    process.signal(signal.SIGSTOP)
    assert order(site, suspended, "POST") == 0
    assert order(site, site.leader(), "DELETE") == 200
    process.signal(signal.SIGCONT)
    wait_for(lambda: order(site, suspended, "DELETE", "hall-b") == 200)
    assert site.submit(JOB, 2) == 200
    wait_for(lambda: site.state(JOB) == "succeeded")
    logs = [site.process_by_ip[ip].log_path.read_text() for ip in site.control_ips]
    assert not any("event=hall_cordoned" in log for log in logs)
