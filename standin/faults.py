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
from standin.replacement_faults import REPLACEMENT_FAULTS

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

#: Expressions that select tests of the data folder, for the faults that share one.
DISK_FAULT_TEST = "on_a_disk_with_troubles"
QUARANTINE_TEST = "losses_cut_short"

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
    Fault(
        "jobs",
        "a start without a reply counts as refused",
        (
            (
                "jobs/agents/agent.py",
                "elif reply.kind in (ReplyKind.UNSURE, ReplyKind.RUN_TOO_OLD):",
                "elif reply.kind is ReplyKind.RUN_TOO_OLD:",
            ),
        ),
        "without_an_answer_is_settled",
    ),
    Fault(
        "jobs",
        "a refusal of one of two start orders settles the start",
        (
            (
                "jobs/agents/agent.py",
                "if call.get().kind in SETTLING_KINDS:",
                "if call.get().kind is not ReplyKind.UNSURE:",
            ),
        ),
        "refusal_of_the_second_order",
    ),
    Fault(
        "jobs",
        "a start is ordered again although its job was cancelled",
        (
            (
                "jobs/agents/agent.py",
                "            and self.session.is_wanted(view.run)\n"
                "            and not self.minion.is_draining",
                "",
            ),
        ),
        "not_ordered_again",
    ),
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
        "jobs",
        "the list of an earlier poll overrides that of a later one",
        (
            (
                "jobs/agents/poller.py",
                "is_news = sent_at >= self.polled_at",
                "is_news = True",
            ),
        ),
        "sent_earlier_tells_ends_only",
    ),
    Fault(
        "jobs",
        "a new leader assumes that every recorded run is in progress",
        (
            (
                "jobs/session.py",
                "return RunViewStatus.INHERITED",
                "return RunViewStatus.RUNNING",
            ),
            (
                "jobs/agents/poller.py",
                "elif view.status is RunViewStatus.RUNNING and sent_at > "
                "view.answered_at:",
                "elif False:",
            ),
        ),
        "does_not_trust_a_run",
    ),
    Fault(
        "jobs",
        "the last status of an unresponsive minion counts as current",
        (("jobs/watch.py", "if not agent or agent.is_unresponsive:", "if not agent:"),),
        "on_a_silent_minion",
    ),
    Fault(
        "jobs",
        "one lost status poll lets the lease expire",
        (
            (
                "jobs/agents/poller.py",
                "MAX_WAIT_LEASE_FRACTION = 1 / 4",
                "MAX_WAIT_LEASE_FRACTION = 1 / 2",
            ),
        ),
        "a_look_that_never_arrives",
    ),
    Fault(
        "jobs",
        "a heartbeat that is read late shortens the next leases",
        (
            (
                "jobs/agents/offset.py",
                "if known_ms is None or is_wrong or offset_ms >= known_ms:",
                "if True:",
            ),
        ),
        "a_beat_that_was_held_back",
    ),
    Fault(
        "jobs",
        "a stop in progress keeps a run whose lease has expired",
        (
            (
                "jobs/agents/poller.py",
                "if view.status in UNSETTLED_STARTS:\n                kept",
                "if view.is_ordering:\n                kept",
            ),
        ),
        "a_stop_without_an_answer",
    ),
    Fault(
        "jobs",
        "a minion with an address that cannot be called ends the session",
        (
            (
                "jobs/agents/agentregistry.py",
                "except ValueError as error:",
                "except OSError as error:",
            ),
        ),
        "that_cannot_be_called_holds",
    ),
    Fault(
        "jobs",
        "a heartbeat with an unknown state registers a minion",
        (("../platform/adapter/wire.py", 'Literal["ready", "draining"]', "str"),),
        "a_strange_heartbeat_makes",
    ),
    Fault(
        "jobs",
        "a delayed heartbeat of an earlier incarnation is accepted",
        (("jobs/registration.py", "if is_present and self", "if True or self"),),
        "of_an_earlier_life_ends_nothing",
    ),
    Fault(
        "jobs",
        "a refusal proves the presence of an earlier incarnation at the address",
        (
            (
                "jobs/agents/agentregistry.py",
                "(ReplyKind.DONE, ReplyKind.FENCED)",
                "(ReplyKind.DONE, ReplyKind.UNHEALTHY)",
            ),
        ),
        "of_an_earlier_life_ends_nothing",
    ),
    Fault(
        "jobs",
        "an incarnation that is recorded late ends a later one",
        (("jobs/registration.py", "if minion.vm in self.vms_changing:", "if False:"),),
        "recorded_late_ends_no_later_one",
    ),
    Fault(
        "jobs",
        "a completed move ends the incarnation that arrived by it",
        (
            (
                "jobs/mover.py",
                "if self.session.table.move_by_vm.get(vm) != pool:",
                "if False:",
            ),
        ),
        "ends_no_life_that_came_by_it",
    ),
    Fault(
        "jobs",
        "any refusal settles a start that was ordered twice",
        (
            (
                "jobs/agents/agent.py",
                "(ReplyKind.DONE, ReplyKind.OTHER_LIFE, ReplyKind.FENCED)",
                "set(ReplyKind) - {ReplyKind.UNSURE}",
            ),
        ),
        "no_task_runs_twice_across_leaderships",
    ),
    Fault(
        "jobs",
        "a run that a poll does not list is ended without a stop",
        (
            (
                "jobs/agents/poller.py",
                "                view.status = RunViewStatus.UNSURE\n"
                "            elif view.status is RunViewStatus.RUNNING",
                "                self.agent.end(view, RunResult.LOST, "
                "EndCause.LAPSED)\n"
                "            elif view.status is RunViewStatus.RUNNING",
            ),
        ),
        "no_task_runs_twice_across_leaderships",
    ),
    Fault(
        "jobs",
        "an exception in one wave ends the session",
        (
            (
                "jobs/upkeep.py",
                'self.session.attempt("wave", self.step, wave)',
                "self.step(wave)",
            ),
        ),
        "a_wave_that_fails_stops",
    ),
    Fault(
        "log",
        "the log is flushed after each line and lets other greenlets run",
        (("app.py", "log_level, buffer.write)", "log_level, buffer)"),)
        + (("logsink.py", "unpatched_poll()", '__import__("select").poll()'),),
        "log_line_lets_no_other",
    ),
    Fault(
        "jobs",
        "a later message takes back a minion's draining",
        (
            (
                "jobs/table.py",
                "is_draining=minion.is_draining or known.is_draining,\n"
                "                born_ms",
                "born_ms",
            ),
            ("jobs/table.py", "minion.sequence < known.sequence:", "False:"),
            ("jobs/report.py", "minion.sequence >= known.sequence:", "True:"),
        ),
        "does_not_take_draining_back",
    ),
    Fault(
        "jobs",
        "the incarnation that maintenance ended completes the maintenance",
        (
            (
                "jobs/upkeep.py",
                "if before is not None and agent.minion.is_same_incarnation(before):",
                "if False:",
            ),
        ),
        "of_the_life_that_an_upkeep_ended",
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
        "jobs",
        "a delayed stop is sent without another budget check",
        (
            (
                "jobs/agents/agent.py",
                "if self.session.watch.exceeds_budget(view.run):",
                "if False:",
            ),
        ),
        "a_stop_that_had_to_wait",
    ),
    Fault(
        "jobs",
        "a task counts as at work until its end is recorded",
        (("jobs/watch.py", "or not view or view.has_ended", "or not view"),),
        "whose_end_is_listed",
    ),
    Fault(
        "jobs",
        "a new leader does not wait for the stops of earlier leaders",
        (("jobs/watch.py", "if not self.is_settled():", "if False:"),),
        "waits_for_the_stops",
    ),
    Fault(
        "jobs",
        "tasks are started on draining minions",
        (
            (
                "jobs/table.py",
                "if minion.is_draining or minion.vm in self.move_by_vm:",
                "if minion.vm in self.move_by_vm:",
            ),
            (
                "jobs/session.py",
                "if minion is None or minion.is_draining or task is None:",
                "if minion is None or task is None:",
            ),
        ),
        "started_on_a_minion_that_drains",
    ),
    Fault(
        "jobs",
        "a VM that has runs is moved",
        (("jobs/rule.py", 'raise Refusal("not_drained"', 'print("not_drained"'),),
        "with_runs_is_never_moved",
    ),
    Fault(
        "jobs",
        "each concurrent request for a job adds a log entry",
        (("jobs/service.py", "if pending_result is not None:", "if False:"),),
        "asked_for_again_costs_one_entry",
    ),
    Fault(
        "jobs",
        "orders busy-loop while the leadership is not confirmed",
        (
            (
                "jobs/agents/agent.py",
                """                else:
                    gevent.sleep(UNCONFIRMED_SECONDS)""",
                "",
            ),
        ),
        "not_confirmed_waits_with_its_orders",
    ),
    Fault(
        "jobs",
        "a busy VM counts as gone although the platform lists it",
        (("jobs/upkeep.py", "vm in self.row_by_vm:", "False:"),),
        "may_still_be_there_keeps_its_wave_open",
    ),
    Fault(
        "jobs",
        "a VM counts as gone once a single list lacks it",
        (
            (
                "jobs/upkeep.py",
                "return self.rows_at >= since + GONE_SECONDS",
                "return 1",
            ),
        ),
        "missing_from_one_list_only",
    ),
    Fault(
        "jobs",
        "an earlier incarnation that is first seen late completes a maintenance",
        (("jobs/upkeep.py", "NEW_INCARNATION_PART * self.upkeep_seconds", "0.0"),),
        "back_once_its_next_life_is_known",
    ),
    Fault(
        "jobs",
        "VMs in maintenance count as present",
        (
            (
                "jobs/fleetview.py",
                "                view.present -= "
                "count_unavailable(usable, in_upkeep)\n",
                "",
            ),
        ),
        "leave_for_their_upkeep_are_not_present",
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
    Fault(
        "durable",
        "a write is not synced",
        (
            (
                "control/storage.py",
                "        self.segment.write_all(data)\n        self.segment.sync()",
                "        self.segment.write_all(data)",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "entries read from the disk are used without a sync",
        (
            (
                "control/storage.py",
                "        run_in_thread(self.segment.sync)",
                "        pass",
            ),
        ),
        "lasts_once_it_was_read",
    ),
    Fault(
        "durable",
        "an atomically written file is not synced before its rename",
        (("durable.py", "        file.sync()\n", ""),),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the folder is not synced after a rename",
        (("durable.py", "    disk.sync_folder(path.parent)", "    pass"),),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the folder is not synced after a segment is created",
        (
            (
                "control/storage.py",
                "segment.size\n        self.disk.sync_folder(self.folder)",
                "segment.size",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the folder is not synced after the identity is quarantined",
        (
            (
                "control/storage.py",
                "            self.quarantine_file(IDENTITY_NAME)\n"
                "            self.disk.sync_folder(self.folder)\n",
                "            self.quarantine_file(IDENTITY_NAME)\n",
            ),
        ),
        QUARANTINE_TEST,
    ),
    Fault(
        "durable",
        "the checksum of a record is not checked",
        (
            (
                "control/batch.py",
                "if zlib.crc32(body, record_type) != checksum:",
                "if False:",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "an empty record is accepted",
        (("control/batch.py", "not 0 < length <=", "not 0 <= length <="),),
        "left_its_begin",
    ),
    Fault(
        "durable",
        "each entry of a write gets a separate record",
        (
            (
                "control/storage.py",
                "data = encode_batch(Batch(self.sequence + 1, vote, tuple(entries)))",
                """data = encode_batch(Batch(self.sequence + 1, vote, ()))
        for one in entries:
            data += encode_batch(Batch(self.sequence + 1, None, (one,)))""",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "any complete record behind a torn one shows that it had been synced",
        (
            (
                "control/batch.py",
                "return decode_batch(record_type, body).sequence > sequence",
                "return True",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "damage in front of synced records is cut off as a torn tail",
        (
            (
                "control/batch.py",
                "if record is not None and is_later(record, expected):",
                "if False:",
            ),
        ),
        "damage_at_every_byte",
    ),
    Fault(
        "durable",
        "a snapshot is written before the segment that it refers to",
        (
            (
                "control/storage.py",
                "            self.write(self.vote, entries)\n            snapshot.vote",
                "            snapshot.vote",
            ),
            (
                "control/storage.py",
                "            run_in_thread(write_atomic, self.disk, path, data)\n",
                "            run_in_thread(write_atomic, self.disk, path, data)\n"
                "            self.write(self.vote, entries)\n",
            ),
        ),
        "snapshot_with_entries_behind",
    ),
    Fault(
        "durable",
        "segments that a snapshot invalidated are read",
        (
            (
                "control/storage.py",
                "self.numbers(SEGMENT_NAME) if at >= first]",
                "self.numbers(SEGMENT_NAME)]",
            ),
            # Each of the two checks alone excludes such entries.
            (
                "control/storage.py",
                "            if entry.term < self.snapshot.term:",
                "            if False:",
            ),
        ),
        "voided_may_come_back",
    ),
    Fault(
        "durable",
        "a torn tail is not cut off",
        (
            (
                "control/storage.py",
                "        self.truncate_file(path, end)",
                "        pass",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the snapshot's segment lacks the vote",
        (
            (
                "control/storage.py",
                "            self.write(self.vote, entries)\n            snapshot.vote"
                " = self.vote\n",
                "            self.write(None, entries)\n",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the audit trail is not truncated to its marker",
        (
            (
                "control/audit.py",
                "        self.file.truncate(at)",
                "        pass",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "audit files begun after the marker are not removed",
        (
            (
                "control/audit.py",
                "                self.disk.remove(path)",
                "                pass",
            ),
        ),
        "earlier_trail",
    ),
    Fault(
        "durable",
        "the audit trail is not synced before its marker is written",
        (("control/audit.py", "        run_in_thread(self.file.sync)\n", ""),),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "a new identity takes over the remains of an old log",
        (
            (
                "control/storage.py",
                "        if self.holds_old_log():",
                "        if self.numbers(SEGMENT_NAME):",
            ),
        ),
        QUARANTINE_TEST,
    ),
    Fault(
        "durable",
        "a segment is closed before the next one is open",
        (
            (
                "control/storage.py",
                "        before = self.segment\n",
                "        before = self.segment\n        before and before.close()\n",
            ),
        ),
        "closed_twice",
    ),
    Fault(
        "durable",
        "an unexpected error in a data folder ends the start",
        (
            (
                "control/replica.py",
                """            except Exception as error:
                self.handle_storage_fault(f""",
                """            except ZeroDivisionError as error:
                self.handle_storage_fault(f""",
            ),
        ),
        "outlives_any_error",
    ),
    Fault(
        "durable",
        "a replica keeps messages that come before its folder is open",
        (("control/replica.py", "        if self.is_open:\n", "        if True:\n"),),
        "not_open_knows_nothing",
    ),
    Fault(
        "durable",
        "a log without its last segment is accepted",
        (
            (
                "control/storage.py",
                "        self.check_complete(identity)\n",
                "",
            ),
        ),
        "lacks_what_it_once_voted_by",
    ),
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
