"""
soak.fault
~~~~~~~~~~

Random faults by seed, injected from outside the processes in overlapping series.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import heapq
import itertools
import signal
import time

__all__ = ["Faults"]

#: Mean time between two faults of a series.
MEAN_GAP_SECONDS = 0.7

#: Mean number of faults in a series. Configuration changes accumulate during the
#: calm that follows, so that the next power loss has unsynced writes to tear.
MEAN_SERIES_LENGTH = 4

#: Range of the calm after a series, in seconds.
CALM_SECONDS = (1.0, 5.0)

#: Delay until the users' platform starts a process again.
RESTART_SECONDS = (0.1, 1.0)

#: Time from a restart to another power loss during the recovery.
RECOVERY_LOSS_SECONDS = (0.1, 0.6)

#: Range of the time for which a process is suspended by SIGSTOP, in seconds.
PAUSE_SECONDS = (0.2, 4.0)

#: Longest time that a process may take to stop, its pauses not included.
STOP_SECONDS = 15.0
POLL_SECONDS = 0.05

#: Time after its start in which a process may not have its signal handlers yet.
LOADING_SECONDS = 1.0

#: Longest wait for an acknowledged change before a fault that should follow one.
ACK_SECONDS = 1.0

#: Limit of the disks lost at once: the group of five keeps its quorum.
MAX_LOST_DISKS = 2

KINDS = ("kill", "pause", "stop", "hang_up", "lose_power", "lose_disks")
WEIGHTS = (3, 3, 2, 1, 6, 3)


class Faults:
    """Injects faults into a `Site`, one at a time, and undoes them later.

    `writer`
        The `ConfigWriter`; some faults directly follow one of its acknowledgements.
    `lost`
        Identities of the replicas whose disks were lost most recently.
    `scheduled_calls`
        Heap of scheduled calls: `(time, number, function, arguments)`.
    """

    def __init__(self, site, record, rng, writer):
        self.site = site
        self.record = record
        self.rng = rng
        self.writer = writer
        self.lost = set()
        self.scheduled_calls = []
        self.call_numbers = itertools.count()
        self.started_by_ip = dict.fromkeys(site.process_by_ip, time.monotonic())

    def call_later(self, seconds, function, *arguments):
        """Schedule the call of a function after a number of seconds."""
        at = time.monotonic() + seconds
        heapq.heappush(
            self.scheduled_calls, (at, next(self.call_numbers), function, arguments)
        )

    def run(self, seconds):
        """Begin faults for a number of seconds, then wait until all are undone."""
        end = time.monotonic() + seconds
        self.call_later(self.rng.uniform(*CALM_SECONDS), self.begin_next, end)
        while self.scheduled_calls:
            at, _, function, arguments = heapq.heappop(self.scheduled_calls)
            time.sleep(max(0, at - time.monotonic()))
            function(*arguments)
        self.record.add_event("the last fault is over")

    def begin_next(self, end):
        """Begin a random fault and schedule the next one."""
        if time.monotonic() > end:
            return
        getattr(self, self.rng.choices(KINDS, WEIGHTS)[0])()
        seconds = self.rng.expovariate(1 / MEAN_GAP_SECONDS)
        if self.rng.randrange(MEAN_SERIES_LENGTH) == 0:
            seconds += self.rng.uniform(*CALM_SECONDS)
            self.record.add_event(f"calm, {self.writer.ack_count} changes acknowledged")
        self.call_later(seconds, self.begin_next, end)

    def pick_process(self):
        """Return the address of a random control replica or entry."""
        return self.rng.choice(self.site.control_ips * 2 + self.site.entry_ips)

    def kill(self):
        """Kill one process."""
        ip = self.pick_process()
        self.record.add_event(f"kill {ip}")
        self.site.kill(ip)
        self.restart_later([ip])

    def restart_later(self, ips, function=None):
        """Schedule the restart of processes; see `restart`."""
        seconds = self.rng.uniform(*RESTART_SECONDS)
        self.call_later(seconds, self.restart, ips, function)

    def restart(self, ips, function=None):
        """Start the processes that are down; call `function` with their addresses."""
        begun = [ip for ip in ips if not self.site.is_running(ip)]
        for ip in begun:
            self.record.add_event(f"start {ip}")
            self.site.restart(ip)
            self.started_by_ip[ip] = time.monotonic()
        if function and begun:
            function(begun)

    def pause(self):
        """Suspend one process and resume it later."""
        ip = self.pick_process()
        if not self.site.is_running(ip):
            return
        self.record.add_event(f"pause {ip}")
        self.site.process_by_ip[ip].signal(signal.SIGSTOP)
        self.call_later(self.rng.uniform(*PAUSE_SECONDS), self.resume, ip)

    def resume(self, ip):
        """Resume a process, unless it was killed meanwhile."""
        if self.site.is_running(ip):
            self.record.add_event(f"resume {ip}")
            self.site.process_by_ip[ip].signal(signal.SIGCONT)

    def stop(self):
        """Ask one process to stop and start it again after that."""
        ip = self.pick_process()
        if self.site.is_running(ip) and ip not in self.site.down:
            self.record.add_event(f"stop {ip}")
            self.site.ask_to_stop(ip)
            longest = STOP_SECONDS + PAUSE_SECONDS[1]
            popen = self.site.process_by_ip[ip].popen
            self.await_stop(ip, popen, time.monotonic() + longest)

    def await_stop(self, ip, popen, deadline):
        """Start a process again when it has stopped or was killed meanwhile."""
        if popen.poll() is None and time.monotonic() < deadline:
            self.call_later(POLL_SECONDS, self.await_stop, ip, popen, deadline)
            return
        has_stopped = popen.poll() is not None
        self.record.check("a process stops when asked to", has_stopped, ip)
        self.restart([ip])

    def hang_up(self):
        """Make all processes reload their settings."""
        began = time.monotonic() - LOADING_SECONDS
        ips = [ip for ip, at in self.started_by_ip.items() if at < began]
        self.record.add_event(f"reload the settings of {len(ips)} processes")
        for ip in filter(self.site.is_running, ips):
            self.site.process_by_ip[ip].signal(signal.SIGHUP)

    def lose_power(self):
        """Cut the power of some control replicas, or of all.

        A loss of all directly follows an acknowledgement.
        """
        ips = self.site.control_ips
        count = len(ips)
        if self.rng.random() < 0.5:
            count = self.rng.randrange(1, len(ips))
        else:
            self.await_ack()
        self.cut_power(self.rng.sample(ips, count))

    def cut_power(self, ips):
        """Cut the power of control replicas now and perhaps during their recovery."""
        self.record.add_event(f"power lost at {' '.join(ips)}")
        self.site.lose_power(self.rng, *ips)
        again = self.cut_power_soon if self.rng.random() < 0.5 else None
        self.restart_later(ips, again)

    def cut_power_soon(self, ips):
        """Schedule another power loss of control replicas during their recovery."""
        self.call_later(self.rng.uniform(*RECOVERY_LOSS_SECONDS), self.cut_power, ips)

    def await_ack(self):
        """Wait up to `ACK_SECONDS` for the next acknowledged configuration."""
        before = self.writer.ack_count
        deadline = time.monotonic() + ACK_SECONDS
        while self.writer.ack_count == before and time.monotonic() < deadline:
            time.sleep(0.001)

    def lose_disks(self):
        """Make one or two control replicas lose their disks after an acknowledgement.

        Does nothing until the replicas that lost their disks before are replaced.
        In some cases all other control replicas lose power at the same time.
        """
        count = self.rng.randrange(1, MAX_LOST_DISKS + 1)
        is_power_lost = self.rng.random() < 0.4
        members = self.site.complete_group(self.lost)
        if not members:
            return
        lost = self.rng.sample(self.site.control_ips, count)
        self.lost = {members[ip] for ip in lost}
        self.await_ack()
        others = [ip for ip in self.site.control_ips if ip not in lost]
        self.record.add_event(f"disks lost at {' '.join(lost)}")
        self.site.kill(*lost, *(others if is_power_lost else []))
        self.site.lose_disk(*lost)
        if is_power_lost:
            self.cut_power(others)
        self.restart_later(lost)
