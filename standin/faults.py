"""
standin.faults
~~~~~~~~~~~~~~

Planted faults: each breaks a temporary copy of the code, in which the test that is
named with it has to fail.

usage: python -m standin.faults [TEST]

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from standin.account_faults import ACCOUNT_FAULTS
from standin.cordon_faults import CORDON_FAULTS
from standin.crash_faults import CRASH_FAULTS
from standin.delay_faults import DELAY_FAULTS
from standin.fault import Fault
from standin.hall_faults import HALL_FAULTS
from standin.incarnation_faults import INCARNATION_FAULTS
from standin.job_faults import JOB_FAULTS
from standin.replacement_faults import REPLACEMENT_FAULTS
from standin.storage_faults import STORAGE_FAULTS

ROOT = Path(__file__).resolve().parent.parent
COPIED = (
    "hingepitch",
    "standin",
    "platform",
    "soak",
    "tests",
    "examples",
    "conftest.py",
    "pyproject.toml",
)
RUN_SECONDS = 180

#: Number of faults tested concurrently; each test may run a complete system.
CONCURRENT_FAULTS = 3

#: Exit codes of pytest: all tests passed, some tests failed.
PASSED = 0
FAILED = 1


#: Edit that disables the quorum check, so that a disconnected leader does not step
#: down. With the check, a test shows the fault only if it is faster than the check.
WITHOUT_QUORUM_CHECK = (
    "control/leadership.py",
    "        if not self.is_quorum([self.identity, *active]):",
    "        if False:",
)


FAULTS = (
    *CRASH_FAULTS,
    *INCARNATION_FAULTS,
    *ACCOUNT_FAULTS,
    *HALL_FAULTS,
    *CORDON_FAULTS,
    *DELAY_FAULTS,
    *REPLACEMENT_FAULTS,
    Fault(
        "budget",
        "disruption budgets are not checked",
        (
            (
                "model/rule.py",
                "if down + added > service.max_down:",
                "if False:",
            ),
            ("planner/wave.py", "if budgets.left(services) > 0:", "if True:"),
        ),
        "lost_in_midwave",
    ),
    Fault(
        "budget",
        "a planner with an outdated lease is not fenced and checks no budgets",
        (
            ("model/apply.py", "lease.fence != envelope.fence", "False"),
            (
                "model/rule.py",
                "if down + added > service.max_down:",
                "if False:",
            ),
            ("planner/wave.py", "if budgets.left(services) > 0:", "if True:"),
        ),
        "active_one_frozen",
    ),
    Fault(
        "one_pool",
        "a move deletes the record of the VM",
        (
            (
                "model/rules/maintenance.py",
                'state.put("vm", vm.name, moved, index)',
                'state.drop("vm", vm.name, index)',
            ),
        ),
        "race_relabels",
    ),
    Fault(
        "whole_answer",
        "a connection whose request timed out is reused",
        (
            (
                "exchange.py",
                "        except gevent.Timeout:\n            sock.close()",
                "        except gevent.Timeout:\n"
                "            self.release_connection(sock)",
            ),
            (
                "exchange.py",
                "if since > horizon and not is_readable(sock):",
                "if since > horizon:",
            ),
        ),
        "answer_late_half",
    ),
    Fault(
        "not_run",
        "a request that may have run is reported as not run",
        (
            (
                "exchange.py",
                'return Failure("minion_failed", Execution.UNKNOWN, str(error))',
                'return Failure("minion_failed", Execution.NOT_RUN, str(error))',
            ),
            (
                "exchange.py",
                'Failure("deadline_passed", Execution.UNKNOWN, "no answer in time")',
                'Failure("deadline_passed", Execution.NOT_RUN, "no answer in time")',
            ),
        ),
        "minions_are_lost",
    ),
    Fault(
        "at_most_once",
        "an open claim is granted again",
        (
            (
                "model/rules/claim.py",
                "    if claim is None:\n        if len(",
                "    if claim is None or claim.state is ClaimState.OPEN:\n"
                "        if len(",
            ),
        ),
        "same_orders",
    ),
    Fault(
        "at_most_once",
        "the open claim of a killed entry is granted again",
        (
            (
                "model/rules/claim.py",
                "    if claim is None:\n        if len(",
                "    if claim is None or claim.state is ClaimState.OPEN:\n"
                "        if len(",
            ),
        ),
        "killed_between_claim",
    ),
    Fault(
        "leaving",
        "an entry goes on serving without its lease",
        (
            (
                "entry/follower.py",
                "return lease_seconds() < self.lease_until",
                "return self.version > 0",
            ),
        ),
        "leaves_while_one_entry",
    ),
    Fault(
        "leaving",
        "a drain waits for no confirmation by the entries",
        (
            (
                "control/roster.py",
                "            if status.confirmed_version < version "
                "or vm in status.in_flight_by_vm:\n                return False",
                "            pass",
            ),
        ),
        "leaves_while_one_entry",
    ),
    Fault(
        "planned_stop",
        "a drain does not wait for requests in flight",
        (
            (
                "control/roster.py",
                " or vm in status.in_flight_by_vm",
                "",
            ),
        ),
        "wave_under_load",
    ),
    Fault(
        "planned_stop",
        "an entry stops without finishing its requests in flight",
        (
            (
                "entry/program.py",
                "        wait_until(lambda: self.proxy.in_flight == 0, FINISH_SECONDS)",
                "",
            ),
        ),
        "stopped_and_started",
    ),
    Fault(
        "config",
        "the leader commits without a quorum and does not step down",
        (
            (
                "control/replication.py",
                "index = matches[len(matches) // 2]",
                "index = matches[0]",
            ),
            WITHOUT_QUORUM_CHECK,
        ),
        "cut_off_silently",
    ),
    Fault(
        "config",
        "writes do not reach the disk",
        (
            (
                "disk.py",
                "view = view[self.write(view) :]",
                "view = b''",
            ),
        ),
        "killed_at_once",
    ),
    Fault(
        "config",
        "a leader serves reads without a quorum and does not step down",
        (
            (
                "control/reads.py",
                "            if self.is_quorum([self.identity, *confirmed]):\n"
                "                ready.append(read)",
                "            ready.append(read)",
            ),
            WITHOUT_QUORUM_CHECK,
        ),
        "asked_for_what",
    ),
    Fault(
        "config",
        "a replica with an emptied folder votes under its old identity",
        (
            (
                "control/storage.py",
                'identity = f"{self.name}{IDENTITY_SEPARATOR}{uuid.uuid4().hex[:8]}"',
                "identity = self.name",
            ),
        ),
        "disk_is_lost",
    ),
    *JOB_FAULTS,
    Fault(
        "config",
        "a leader counts itself for entries that its own disk lacks",
        (
            (
                "control/replication.py",
                "                self.durable_index\n",
                "                self.log.last_index\n",
            ),
        ),
        "does_not_count_itself",
    ),
    Fault(
        "config",
        "a former leader acknowledges entries that its disk lacks",
        (
            (
                "control/writer.py",
                "self.storage.write(vote, [*ahead, *entries])",
                "self.storage.write(vote, entries)",
            ),
        ),
        "acknowledges_only_what_its_disk_has",
    ),
    Fault(
        "log",
        "the log is flushed after each line and lets other greenlets run",
        (("app.py", "log_level, buffer.write)", "log_level, buffer)"),)
        + (("logsink.py", "unpatched_poll()", '__import__("select").poll()'),),
        "log_line_lets_no_other",
    ),
    Fault(
        "config",
        "no heartbeats are sent during a snapshot transfer",
        (
            (
                "control/replication.py",
                "self.send_round(identity, self.log.start_index, self.log.start_term)",
                "pass",
            ),
        ),
        "while_the_state_is_on_its_way",
    ),
    Fault(
        "config",
        "an answer without a leader hint discards the known leader",
        (
            (
                "group.py",
                "self.misses += bool(self.hint)",
                "self.misses = self.misses + 1 if leader else 0",
            ),
        ),
        "lost_its_disk_does_not_hide_the_leader",
    ),
    Fault(
        "config",
        "an unreadable log entry is skipped",
        (
            (
                "control/replica.py",
                'self.stop_applying(f"entry {entry.index}", error)',
                "self.applied_index = entry.index",
            ),
        ),
        "cannot_read_an_entry_keeps_it_votes",
    ),
    Fault(
        "config",
        "a replica that cannot read a log entry serves as leader",
        (
            (
                "control/consensus.py",
                "return self.role == LEADER and self.may_lead",
                "return self.role == LEADER",
            ),
        ),
        "cannot_read_an_entry_keeps_it_votes",
    ),
    Fault(
        "config",
        "a replica that cannot serve never passes on entries that others lack",
        (
            (
                "control/election.py",
                "self.missed_elections < CARETAKER_ELECTIONS:",
                "True:",
            ),
        ),
        "a_group_serves_while_one_replica",
    ),
    Fault(
        "config",
        "a child that fails often stops the process",
        (
            (
                "supervisor.py",
                "child.failures == self.max_failures",
                "child.failures >= 8",
            ),
        ),
        "fails_again_and_again_ends_no_process",
    ),
    *STORAGE_FAULTS,
    Fault(
        "config",
        "a commit index behind the applied one reads the log from its end",
        (
            (
                "control/replica.py",
                "max(0, index - self.applied_index)",
                "index - self.applied_index",
            ),
        ),
        "nothing_uncommitted",
    ),
)


def copy_code(folder):
    """Copy the code to `folder`, so that edits during the run change no result."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name)
        else:
            shutil.copy(source, folder / name)


def plant(fault, base, folder):
    """Copy the code in `base` to `folder` and apply the edits of `fault` there.

    Exits unless each text to replace occurs exactly once.
    """
    shutil.copytree(base, folder, dirs_exist_ok=True)
    for name, old, new in fault.edits:
        path = folder / "hingepitch" / name
        text = path.read_text()
        if text.count(old) != 1:
            raise SystemExit(f"{fault.name}: {name} does not have {old!r} once")
        path.write_text(text.replace(old, new))


def run(fault, base):
    """Execute the test of a fault with the fault planted.

    Returns `(caught, line, seconds)`: whether the test failed, the first line of its
    error, and the duration.
    """
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="hingepitch-fault-") as folder:
        plant(fault, base, Path(folder))
        finished = subprocess.run(
            [sys.executable, "-m", "pytest", "tests", "-k", fault.test],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": folder},
            capture_output=True,
            text=True,
            timeout=RUN_SECONDS,
        )
    if finished.returncode not in (PASSED, FAILED):
        raise SystemExit(finished.stdout + finished.stderr)
    lines = [line for line in finished.stdout.splitlines() if line.startswith("E  ")]
    line = lines[0][4:].strip() if lines else ""
    return finished.returncode == FAILED, line, time.monotonic() - started


def main():
    """Test all faults, or those whose test expression contains the argument.

    The exit code is 1 if a test passes with its fault planted.
    """
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    faults = [fault for fault in FAULTS if wanted in fault.test]
    missed = 0
    with tempfile.TemporaryDirectory(prefix="hingepitch-base-") as base:
        copy_code(Path(base))
        with ThreadPoolExecutor(CONCURRENT_FAULTS) as pool:
            results = pool.map(lambda fault: run(fault, Path(base)), faults)
            for fault, (caught, line, seconds) in zip(faults, results, strict=True):
                missed += not caught
                word = "caught" if caught else "MISSED"
                print(f"{word}  @{fault.promise}  {fault.name}  ({seconds:.0f} s)")
                print(f"        {line}", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
