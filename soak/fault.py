"""
soak.fault
~~~~~~~~~~

Faults from outside, drawn by seed, in series that overlap.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import heapq
import itertools
import signal
import time

__all__ = ["Faults"]

#: Between two faults of a series, on average.
MEAN_GAP_SECONDS = 0.7

#: One fault in so many is the last of its series; then the changes of a storm
#: gather, so that the next loss of power has writes to tear.
SERIES = 4
CALM_SECONDS = (1.0, 5.0)

#: Until a process is started again. Source: the users' platform.
RESTART_SECONDS = (0.1, 1.0)

#: From the restart to the next loss of power while the process recovers.
RECOVERY_LOSS_SECONDS = (0.1, 0.6)
PAUSE_SECONDS = (0.2, 4.0)

#: Longest time that a process may take to stop; a paused one takes longer.
STOP_SECONDS = 15.0
LOOK_SECONDS = 0.05

#: A process that began so recently may not have its handler yet.
LOADING_SECONDS = 1.0

#: Longest wait for the acknowledgement right after which a fault comes.
ACK_SECONDS = 1.0

MAX_LOST_DISKS = 2

KINDS = ("kill", "pause", "stop", "hang_up", "lose_power", "lose_disks")
WEIGHTS = (3, 3, 2, 1, 6, 3)


class Faults:
    """Carries faults out on a `Site`, one at a time, and undoes them later.

    `writer`
        The `ConfigWriter`: some faults come right after an acknowledgement.
    `lost`
        Identities of the replicas whose disks are lost, until replaced.
    """

    def __init__(self, site, record, rng, writer):
        self.site = site
        self.record = record
        self.rng = rng
        self.writer = writer
        self.lost = set()
        self.due = []
        self.numbers = itertools.count()
        self.started_by_ip = dict.fromkeys(site.process_by_ip, time.monotonic())

    def later(self, seconds, function, *arguments):
        """Have a function called after so many seconds."""
        at = time.monotonic() + seconds
        heapq.heappush(self.due, (at, next(self.numbers), function, arguments))

    def run(self, seconds):
        """Bring faults about for so long, then undo what is left of them."""
        end = time.monotonic() + seconds
        self.later(self.rng.uniform(*CALM_SECONDS), self.begin_next, end)
        while self.due:
            at, _, function, arguments = heapq.heappop(self.due)
            time.sleep(max(0, at - time.monotonic()))
            function(*arguments)
        self.record.note("the last fault is over")

    def begin_next(self, end):
        """Begin a fault by chance, and plan the next one."""
        if time.monotonic() > end:
            return
        getattr(self, self.rng.choices(KINDS, WEIGHTS)[0])()
        seconds = self.rng.expovariate(1 / MEAN_GAP_SECONDS)
        if self.rng.randrange(SERIES) == 0:
            seconds += self.rng.uniform(*CALM_SECONDS)
            self.record.note(f"calm, {self.writer.ack_count} changes acknowledged")
        self.later(seconds, self.begin_next, end)

    def anyone(self):
        """Return the address of a control replica or an entry."""
        return self.rng.choice(self.site.control_ips * 2 + self.site.entry_ips)

    def kill(self):
        """Kill one process."""
        ip = self.anyone()
        self.record.note(f"kill {ip}")
        self.site.kill(ip)
        self.restart_later([ip])

    def restart_later(self, ips, function=None):
        """Start processes again soon; then call a function with them."""
        seconds = self.rng.uniform(*RESTART_SECONDS)
        self.later(seconds, self.restart, ips, function)

    def restart(self, ips, function=None):
        """Start those processes again that are down."""
        begun = [ip for ip in ips if not self.site.is_running(ip)]
        for ip in begun:
            self.record.note(f"start {ip}")
            self.site.restart(ip)
            self.started_by_ip[ip] = time.monotonic()
        if function and begun:
            function(begun)

    def pause(self):
        """Pause one process, and wake it later."""
        ip = self.anyone()
        if not self.site.is_running(ip):
            return
        self.record.note(f"pause {ip}")
        self.site.process_by_ip[ip].signal(signal.SIGSTOP)
        self.later(self.rng.uniform(*PAUSE_SECONDS), self.wake, ip)

    def wake(self, ip):
        """Wake a process, unless it was killed meanwhile."""
        if self.site.is_running(ip):
            self.record.note(f"wake {ip}")
            self.site.process_by_ip[ip].signal(signal.SIGCONT)

    def stop(self):
        """Ask one process to stop; start it again once it has."""
        ip = self.anyone()
        if self.site.is_running(ip) and ip not in self.site.down:
            self.record.note(f"stop {ip}")
            self.site.ask_to_stop(ip)
            longest = STOP_SECONDS + PAUSE_SECONDS[1]
            popen = self.site.process_by_ip[ip].popen
            self.await_stop(ip, popen, time.monotonic() + longest)

    def await_stop(self, ip, popen, deadline):
        """Start a process again once it has stopped, or was killed meanwhile."""
        if popen.poll() is None and time.monotonic() < deadline:
            self.later(LOOK_SECONDS, self.await_stop, ip, popen, deadline)
            return
        has_stopped = popen.poll() is not None
        self.record.check("a process that is asked to stop does", has_stopped, ip)
        self.restart([ip])

    def hang_up(self):
        """Have all processes read their settings again."""
        began = time.monotonic() - LOADING_SECONDS
        ips = [ip for ip, at in self.started_by_ip.items() if at < began]
        self.record.note(f"hang up {len(ips)} processes")
        for ip in filter(self.site.is_running, ips):
            self.site.process_by_ip[ip].signal(signal.SIGHUP)

    def lose_power(self):
        """Have some or all controls lose power, all right after an ack."""
        ips = self.site.control_ips
        count = len(ips)
        if self.rng.random() < 0.5:
            count = self.rng.randrange(1, len(ips))
        else:
            self.await_ack()
        self.cut_power(self.rng.sample(ips, count))

    def cut_power(self, ips):
        """Have controls lose power now, and perhaps while they recover."""
        self.record.note(f"power lost at {' '.join(ips)}")
        self.site.lose_power(self.rng, *ips)
        again = self.cut_power_soon if self.rng.random() < 0.5 else None
        self.restart_later(ips, again)

    def cut_power_soon(self, ips):
        """Have controls lose power while they recover."""
        self.later(self.rng.uniform(*RECOVERY_LOSS_SECONDS), self.cut_power, ips)

    def await_ack(self):
        """Wait for the next acknowledgement of a configuration, for a while."""
        before = self.writer.ack_count
        deadline = time.monotonic() + ACK_SECONDS
        while self.writer.ack_count == before and time.monotonic() < deadline:
            time.sleep(0.001)

    def lose_disks(self):
        """Have controls lose their disks right after an acknowledgement.

        One or two, and none before the last ones are replaced; at times all
        others lose power at that moment.
        """
        count = self.rng.randrange(1, MAX_LOST_DISKS + 1)
        is_power_lost = self.rng.random() < 0.4
        members = self.site.whole_group(self.lost)
        if not members:
            return
        lost = self.rng.sample(self.site.control_ips, count)
        self.lost = {members[ip] for ip in lost}
        self.await_ack()
        others = [ip for ip in self.site.control_ips if ip not in lost]
        self.record.note(f"disks lost at {' '.join(lost)}")
        self.site.kill(*lost, *(others if is_power_lost else []))
        self.site.lose_disk(*lost)
        if is_power_lost:
            self.cut_power(others)
        self.restart_later(lost)
