"""Simulate operators who cordon and uncordon halls while leaders and minions fail.

Their orders go through `CordonResource`, with delays and losses on the way; an operator
gives up an attempt that is not answered in time, and repeats the order.
"""

from types import SimpleNamespace

import gevent

from adapter.cordon import CordonResource
from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.httpd import IS_CONNECTED
from tests.order_simulation import OrderSimulation

#: Number of halls; each has one of the minions.
HALLS = 3

#: How long an operator waits for the answer to an attempt, in seconds.
ATTEMPT_SECONDS = 0.4

#: Longest time between the decision to send a start and the call, in seconds: a turn
#: of the event loop that simulations share.
TURN_SECONDS = 0.15


class CordonSimulation(OrderSimulation):
    """Minions in several halls, and an operator for each hall.

    `cordoned_at`
        When each hall was cordoned, for the halls that are.
    `settled`
        The state that was last acknowledged for each hall, while no order is sent.
    `cordons`
        Number of cordons that were recorded.
    `sent`
        Minion, task and number of each start that was sent.
    """

    def __init__(self, seed, fault_rate=0.35):
        self.cordoned_at = {}
        self.settled = {}
        self.cordons = 0
        self.sent = set()
        self.is_settling = False
        super().__init__(seed, fault_rate, minions=HALLS)
        self.resource = CordonResource(self, {self.hall_of("vm-0"): "region"})
        self.operators = [
            gevent.spawn(self.operate, self.hall_of(f"vm-{number}"))
            for number in range(HALLS)
        ]

    def hall_of(self, vm):
        return f"hall of {vm}"

    def commit(self, envelope):
        """Commit a command; note cordons and those that nobody has ordered."""
        before = dict(self.log.table.cordons.cordon_by_hall)
        outcome = super().commit(envelope)
        after = self.log.table.cordons.cordon_by_hall
        for hall in before.keys() ^ after.keys():
            if self.settled.get(hall, hall in after) is not (hall in after):
                self.violations.append(f"{hall}: {envelope.command} was given up")
            if hall in after:
                self.cordons += 1
                self.cordoned_at[hall] = lease_seconds()
            else:
                del self.cordoned_at[hall]
        return outcome

    def note_start_call(self, record, order):
        """Note a start that is sent; one that is sent again breaks the cordon."""
        sent = record.id, order.task, order.number
        if sent in self.sent and record.hall in self.log.table.cordons:
            self.violations.append(f"{order.task} run {order.number} was sent again")
        self.sent.add(sent)

    def note_start(self, life, task, number):
        super().note_start(life, task, number)
        since = self.cordoned_at.get(self.hall_of(life.vm))
        if since is not None and life.called_at > since + TURN_SECONDS:
            late = life.called_at - since
            self.violations.append(f"{task} run {number} sent {late:.2f} s late")

    def ask(self, request, seconds, leaderless_seconds):
        """Answer a request as `JobClient.ask` does, with delays and losses."""
        delays = self.network.draw_delays()
        gevent.sleep(ATTEMPT_SECONDS if delays.request is None else delays.request)
        leaders = [member for member in self.members if member.is_leader]
        if delays.request is None or not leaders:
            raise HingepitchError("no_leader")
        answer = self.network.random.choice(leaders).service.answer(request)
        if delays.answer is None:
            raise HingepitchError("deadline_passed", "no reply")
        gevent.sleep(delays.answer)
        return answer

    def operate(self, hall):
        """Cordon and uncordon a hall in turn, until the simulation settles."""
        while not self.is_settling:
            gevent.sleep(self.network.random.uniform(0.0, 1.0))
            self.order(hall, True)
            gevent.sleep(self.network.random.uniform(0.0, 1.0))
            self.order(hall, False)

    def order(self, hall, is_cordoned):
        """Repeat an order until it is acknowledged."""
        self.settled.pop(hall, None)
        answer = []
        while not answer:
            caller = SimpleNamespace(is_connected=True)
            self.spawn(self.attempt, hall, is_cordoned, caller, answer)
            with gevent.Timeout(ATTEMPT_SECONDS, False):
                while not answer:
                    gevent.sleep(0.01)
            caller.is_connected = False
        self.settled[hall] = is_cordoned
        if (hall in self.log.table.cordons) is not is_cordoned:
            self.violations.append(f"{hall}: {is_cordoned} was only acknowledged")

    def attempt(self, hall, is_cordoned, caller, answer):
        """Carry out one attempt, which goes on when its caller has given up."""
        check = {IS_CONNECTED: lambda: caller.is_connected}
        request = SimpleNamespace(env=check, remote_addr="operator")
        try:
            self.resource.set_cordon(request, hall, is_cordoned)
        except HingepitchError as error:
            if error.status in (400, 409, 412, 413, 422):
                self.violations.append(f"{hall}: refused with {error.code}")
            return
        if caller.is_connected:
            answer.append(is_cordoned)

    def settle(self):
        """Let the operators uncordon their halls, then wait until all jobs ended."""
        self.is_settling = True
        gevent.joinall(self.operators, raise_error=True)
        super().settle()

    def close(self):
        gevent.killall(self.operators)
        super().close()
