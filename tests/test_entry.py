"""Test the entry: minion connections, balancer, slot queue, retry budget."""

import gevent
import pytest
from gevent.server import StreamServer

from hingepitch.clock import lease_seconds
from hingepitch.entry.balance import Balancer, MinionHealth
from hingepitch.entry.limit import RetryBudget, SlotQueue
from hingepitch.entry.proxy import Proxy
from hingepitch.exchange import MinionConnections, is_readable
from hingepitch.httpd import wait_until
from hingepitch.metric import Metrics
from hingepitch.model.record import Service, Vm, VmLifecycle
from hingepitch.model.state import State
from hingepitch.request import Answer, Execution, Failure, Priority, Request


class FakeMinion:
    """Server that plays one script for each request and records the requests.

    A script is a sequence of bytes to send, seconds to wait, or None, which
    closes the connection.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def serve(self, sock, peer):
        self.connections += 1
        while True:
            data = sock.recv(65536)
            if not data:
                return
            self.requests.append(data)
            script = self.scripts.pop(0) if self.scripts else (None,)
            for part in script:
                if part is None:
                    sock.close()
                    return
                if isinstance(part, bytes):
                    sock.sendall(part)
                else:
                    gevent.sleep(part)


@pytest.fixture
def minion():
    made = []

    def make(*scripts):
        made.append(FakeMinion(*scripts))
        return made[-1]

    yield make
    for one in made:
        one.server.stop(timeout=0)


def request(seconds=2.0, method="GET", **fields):
    return Request(
        "s", method, "/x", [], b"", deadline=lease_seconds() + seconds, **fields
    )


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def test_complete_answers_reuse_the_connection(minion):
    fake = minion((answer(b"one"),), (answer(b"two"),))
    connections = MinionConnections(fake.address)
    assert connections.exchange(request()).body == b"one"
    assert connections.exchange(request()).body == b"two"
    assert fake.connections == 1


def test_chunked_answer_is_reassembled(minion):
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    fake = minion((chunked, 0.01, b"2\r\nde\r\n0\r\n\r\n"))
    assert MinionConnections(fake.address).exchange(request()).body == b"abcde"


def test_late_answer_never_reaches_the_next_request(minion):
    fake = minion((0.2, answer(b"late")), (answer(b"own"),))
    connections = MinionConnections(fake.address)
    late = connections.exchange(request(seconds=0.05))
    assert (late.code, late.run) == ("deadline_passed", Execution.UNKNOWN)
    assert connections.exchange(request()).body == b"own"
    assert fake.connections == 2


def test_bytes_after_an_answer_close_the_connection(minion):
    fake = minion((answer(b"one") + answer(b"two"),), (answer(b"own"),))
    connections = MinionConnections(fake.address)
    assert connections.exchange(request()).body == b"one"
    assert connections.exchange(request()).body == b"own"
    assert fake.connections == 2


def test_unsolicited_answer_closes_the_connection(minion):
    fake = minion((answer(b"one"), 0.05, answer(b"stray")), (answer(b"own"),))
    connections = MinionConnections(fake.address)
    assert connections.exchange(request()).body == b"one"
    idle = connections.idle[0][1]
    assert wait_until(lambda: is_readable(idle), 2)
    assert connections.exchange(request()).body == b"own"


@pytest.mark.parametrize(
    "script",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", None),
        (b"HTTP/1.1 200 OK\r\n\r\nno length", None),
        (b"HTTP/1.1 200 OK\r\nContent-Le", None),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", None),
        (None,),
    ],
)
def test_incomplete_answer_is_a_failure_with_unknown_outcome(minion, script):
    result = MinionConnections(minion(script).address).exchange(request())
    assert (result.code, result.run) == ("minion_failed", Execution.UNKNOWN)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_connections_never_resend_a_request(minion, method):
    fake = minion((None,), (None,), (None,))
    MinionConnections(fake.address).exchange(request(method=method))
    assert len(fake.requests) == 1


def test_no_connection_means_not_run(minion):
    fake = minion()
    fake.server.stop(timeout=0)
    result = MinionConnections(fake.address).exchange(request())
    assert (result.code, result.run) == ("minion_failed", Execution.NOT_RUN)


class FakeFollower:
    def __init__(self, state):
        self.state = state
        self.lease = True

    def has_lease(self):
        return self.lease


def make_proxy(fakes, **fields):
    """Return a proxy that sends to `fakes`, one for each VM.

    `send_to` is replaced, since the fakes have different ports.
    """
    state = State()
    for number, _ in enumerate(fakes):
        vm = Vm(f"v{number}", "p", "pool", "h", "r", "127.0.0.1")
        state.put("vm", vm.name, vm, number + 1)
    service = Service("s", "p", "pool", 1, **fields)
    state.put("service", "s", service, 99)
    follower = FakeFollower(state)
    balancer = Balancer(lambda: state, "h", lambda name: True, 0)
    proxy = Proxy(follower, balancer, None, Metrics("test"))
    ports = {f"v{number}": fake.address for number, fake in enumerate(fakes)}

    def send_to(context, chosen, sent):
        vm, health = chosen
        try:
            result = MinionConnections(ports[vm.name]).exchange(sent)
            proxy.record_result(health, result, context.service)
            return result
        finally:
            context.queue.release(health)

    proxy.send_to = send_to
    return proxy


def test_repeatable_request_is_retried_on_another_minion(minion):
    good = minion(*[(answer(b"good"),)] * 40)
    bad = minion(*[(None,)] * 40)
    proxy = make_proxy([bad, good])
    results = [proxy.handle(request()) for _ in range(20)]
    assert all(isinstance(one, Answer) for one in results)


def test_unrepeatable_request_is_sent_once(minion):
    fakes = [minion((None,)), minion((None,))]
    proxy = make_proxy(fakes, repeatable=False)
    result = proxy.handle(request(method="POST"))
    assert result.run is Execution.UNKNOWN
    assert sum(len(fake.requests) for fake in fakes) == 1


def test_refused_retry_does_not_hide_that_the_first_attempt_ran():
    first = Failure("minion_failed", Execution.UNKNOWN)
    second = Failure("overloaded", Execution.NOT_RUN)
    proxy = make_proxy([])
    assert proxy.choose_result(first, second).run is Execution.UNKNOWN


def test_entry_without_a_lease_refuses_requests(minion):
    proxy = make_proxy([minion((answer(b"x"),))])
    proxy.follower.lease = False
    result = proxy.handle(request())
    assert (result.code, result.run) == ("no_lease", Execution.NOT_RUN)
    assert result.retry_after_ms


def test_leaving_vm_gets_no_requests(minion):
    fakes = [minion(), minion(*[(answer(b"x"),)] * 20)]
    proxy = make_proxy(fakes)
    state = proxy.follower.state
    leaving = Vm("v0", "p", "pool", "h", "r", "127.0.0.1", life=VmLifecycle.LEAVING)
    state.put("vm", "v0", leaving, 100)
    for _ in range(10):
        assert proxy.handle(request()).body == b"x"
    assert fakes[0].requests == []


def test_fast_failures_do_not_attract_traffic():
    failing, busy = MinionHealth(8.0), MinionHealth(8.0, in_flight=3)
    for _ in range(20):
        failing.record_failure(0.0)
    assert failing.cost() > busy.cost()
    assert failing.is_ejected(0.1)


def test_ejected_minion_returns_with_slow_start():
    health = MinionHealth(8.0)
    for _ in range(3):
        health.record_failure(0.0)
    assert health.is_ejected(0.4) and not health.is_ejected(0.6)
    assert health.limit == 1
    for _ in range(100):
        health.record_success(8)
    assert health.limit == 8


def test_retry_budget_bounds_retries():
    budget = RetryBudget(share=0.1, burst=2)
    taken = 0
    for _ in range(100):
        budget.deposit()
        taken += budget.try_withdraw()
    assert taken <= 12


def test_full_queue_sheds_the_least_urgent_at_once():
    queue = SlotQueue(lambda avoid: None, lambda: 1)
    batch = gevent.spawn(queue.acquire, request(priority=Priority.BATCH))
    assert wait_until(lambda: queue.waiting == 1, 2)
    urgent = gevent.spawn(queue.acquire, request(0.05, priority=Priority.URGENT))
    shed = batch.get(timeout=1)
    assert (shed.code, shed.run) == ("overloaded", Execution.NOT_RUN)
    assert shed.retry_after_ms >= 100
    refused = queue.acquire(request(priority=Priority.NORMAL))
    assert refused.code == "overloaded"
    assert urgent.get(timeout=1).code == "overloaded"
    assert queue.waiting == 0


def test_slots_go_to_the_most_urgent_waiter():
    free = []
    queue = SlotQueue(lambda avoid: free.pop() if free else None, lambda: 9)
    normal = gevent.spawn(queue.acquire, request())
    urgent = gevent.spawn(queue.acquire, request(priority=Priority.URGENT))
    assert wait_until(lambda: queue.waiting == 2, 2)
    health = MinionHealth(8.0, in_flight=1)
    free.append(("vm", health))
    queue.release(health)
    assert urgent.get(timeout=1) == ("vm", health)
    assert not normal.ready()
    normal.kill()
