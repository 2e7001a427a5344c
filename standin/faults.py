"""
standin.faults
~~~~~~~~~~~~~~

Planted faults: each breaks one line in a scratch copy of the code, and
the scenario named with it has to fail there.

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

from standin.crash_faults import CRASH_FAULTS
from standin.fault import Fault

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

#: Faults tried at once; each runs a whole system.
AT_ONCE = 3

#: Exit codes of pytest: all passed, some failed.
PASSED = 0
FAILED = 1


#: Without its quorum check, a leader that is cut off stays one; else the
#: scenario would have to be faster than that check to show the fault.
LEADER_STAYS = (
    "control/consensus.py",
    "        if not self.is_quorum([self.identity, *active]):",
    "        if False:",
)

#: Tests of the data folder.
ON_A_DISK_WITH_TROUBLES = "on_a_disk_with_troubles"
SET_ASIDE = "losses_cut_short"

FAULTS = (
    *CRASH_FAULTS,
    Fault(
        "budget",
        "budgets are not checked",
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
        "an old planner is not fenced, and does not look before it acts",
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
        "a move forgets the VM for a while",
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
        "a connection is used again after a time-out",
        (
            (
                "exchange.py",
                "        except gevent.Timeout:\n            sock.close()",
                "        except gevent.Timeout:\n            self.release_connection(sock)",
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
        "a failed exchange is called not run",
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
        "an open claim is given out again",
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
        "an open claim of a dead entry is given out again",
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
        "an entry works on without its lease",
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
        "a drain does not wait for the entries",
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
        "an entry stops without finishing",
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
        "the leader acknowledges and stays without a quorum",
        (
            (
                "control/consensus.py",
                "index = matches[len(matches) // 2]",
                "index = matches[0]",
            ),
            LEADER_STAYS,
        ),
        "cut_off_silently",
    ),
    Fault(
        "config",
        "nothing reaches the disk",
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
        "a leader reads and stays without a quorum",
        (
            (
                "control/consensus.py",
                "            if self.is_quorum([self.identity, *confirmed]):\n"
                "                ready.append(read)",
                "            ready.append(read)",
            ),
            LEADER_STAYS,
        ),
        "asked_for_what",
    ),
    Fault(
        "config",
        "an emptied folder votes as its old self",
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
        "a start without an answer is taken not to have happened",
        (
            (
                "jobs/agent.py",
                "elif reply.kind in (ReplyKind.UNSURE, ReplyKind.RUN_TOO_OLD):",
                "elif reply.kind is ReplyKind.RUN_TOO_OLD:",
            ),
        ),
        "without_an_answer_is_settled",
    ),
    Fault(
        "jobs",
        "the refusal of one of two orders is taken for both",
        (
            (
                "jobs/agent.py",
                "if call.get().kind in SETTLING_KINDS:",
                "if call.get().kind is not ReplyKind.UNSURE:",
            ),
        ),
        "refusal_of_the_second_order",
    ),
    Fault(
        "jobs",
        "a start is ordered again though its job was cancelled",
        (
            (
                "jobs/agent.py",
                "            and self.session.is_wanted(view.run)\n"
                "            and not self.minion.is_draining",
                "",
            ),
        ),
        "not_ordered_again",
    ),
    Fault(
        "config",
        "a leader counts itself before its own disk has an entry",
        (
            (
                "control/consensus.py",
                "                self.durable_index\n",
                "                self.log.last_index\n",
            ),
        ),
        "does_not_count_itself",
    ),
    Fault(
        "config",
        "a former leader acknowledges what its disk lacks",
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
        "a look that was sent earlier overrules a later one",
        (("jobs/poller.py", "is_news = sent_at >= self.polled_at", "is_news = True"),),
        "sent_earlier_tells_ends_only",
    ),
    Fault(
        "jobs",
        "a new leader trusts every recorded run",
        (
            (
                "jobs/session.py",
                "return RunViewStatus.INHERITED",
                "return RunViewStatus.RUNNING",
            ),
            (
                "jobs/poller.py",
                "elif view.status is RunViewStatus.RUNNING and sent_at > "
                "view.answered_at:",
                "elif False:",
            ),
        ),
        "does_not_trust_a_run",
    ),
    Fault(
        "jobs",
        "what a silent minion said last is believed",
        (("jobs/watch.py", "if not agent or agent.is_unresponsive:", "if not agent:"),),
        "on_a_silent_minion",
    ),
    Fault(
        "jobs",
        "a lost look ends the lease of the look before",
        (
            (
                "jobs/poller.py",
                "MAX_WAIT_LEASE_FRACTION = 1 / 4",
                "MAX_WAIT_LEASE_FRACTION = 1 / 2",
            ),
        ),
        "a_look_that_never_arrives",
    ),
    Fault(
        "jobs",
        "a beat read late makes the next leases shorter",
        (
            (
                "jobs/offset.py",
                "if known_ms is None or is_wrong or offset_ms >= known_ms:",
                "if True:",
            ),
        ),
        "a_beat_that_was_held_back",
    ),
    Fault(
        "jobs",
        "an order under way keeps a run whose lease is over",
        (
            (
                "jobs/poller.py",
                "if view.status in UNSETTLED_STARTS:\n                kept",
                "if view.is_ordering:\n                kept",
            ),
        ),
        "a_stop_without_an_answer",
    ),
    Fault(
        "jobs",
        "a minion that cannot be called ends the session",
        (
            (
                "jobs/agentregistry.py",
                "except ValueError as error:",
                "except OSError as error:",
            ),
        ),
        "that_cannot_be_called_holds",
    ),
    Fault(
        "jobs",
        "an unknown state makes a minion",
        (("../platform/adapter/wire.py", 'Literal["ready", "draining"]', "str"),),
        "a_strange_heartbeat_makes",
    ),
    Fault(
        "jobs",
        "a late heartbeat of an earlier life is believed",
        (("jobs/service.py", "if is_present and self", "if True or self"),),
        "of_an_earlier_life_ends_nothing",
    ),
    Fault(
        "jobs",
        "a minion that refuses speaks for the life that had its address",
        (
            (
                "jobs/agentregistry.py",
                "(ReplyKind.DONE, ReplyKind.FENCED)",
                "(ReplyKind.DONE, ReplyKind.UNHEALTHY)",
            ),
        ),
        "of_an_earlier_life_ends_nothing",
    ),
    Fault(
        "jobs",
        "a life whose record takes long ends a later one",
        (("jobs/service.py", "if minion.vm in self.vms_changing:", "if False:"),),
        "recorded_late_ends_no_later_one",
    ),
    Fault(
        "jobs",
        "a move that was done before ends the life that came by it",
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
        "a refusal speaks for both orders of a start",
        (
            (
                "jobs/agent.py",
                "(ReplyKind.DONE, ReplyKind.OTHER_LIFE, ReplyKind.FENCED)",
                "set(ReplyKind) - {ReplyKind.UNSURE}",
            ),
        ),
        "no_task_runs_twice_across_leaderships",
    ),
    Fault(
        "jobs",
        "a run that a look does not show is over without a stop",
        (
            (
                "jobs/poller.py",
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
        "a wave that fails ends the session",
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
        "the log is flushed after each line",
        (("app.py", "log_level, buffer.write)", "log_level, buffer)"),)
        + (("logsink.py", "unpatched_poll()", '__import__("select").poll()'),),
        "log_line_lets_no_other",
    ),
    Fault(
        "jobs",
        "draining is taken back by a later message",
        (
            (
                "jobs/table.py",
                "if known is not None and known.is_draining:",
                "if False:",
            ),
        ),
        "does_not_take_draining_back",
    ),
    Fault(
        "jobs",
        "the life that an upkeep has ended ends it",
        (("jobs/upkeep.py", "if agent.minion.id == before:", "if False:"),),
        "of_the_life_that_an_upkeep_ended",
    ),
    Fault(
        "config",
        "nothing is sent while the whole state is on its way",
        (
            (
                "control/consensus.py",
                "self.send_round(identity, self.log.start_index, self.log.start_term)",
                "pass",
            ),
        ),
        "while_the_state_is_on_its_way",
    ),
    Fault(
        "jobs",
        "a stop that had to wait is not counted again",
        (
            (
                "jobs/agent.py",
                "if self.session.watch.exceeds_budget(view.run):",
                "if False:",
            ),
        ),
        "a_stop_that_had_to_wait",
    ),
    Fault(
        "jobs",
        "a task is at work until its end is recorded",
        (("jobs/watch.py", "or not view or view.has_ended", "or not view"),),
        "whose_end_is_listed",
    ),
    Fault(
        "jobs",
        "a new leader does not wait for earlier stops",
        (("jobs/watch.py", "if not self.is_settled():", "if False:"),),
        "waits_for_the_stops",
    ),
    Fault(
        "jobs",
        "tasks start on minions that drain",
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
        "a VM is moved with its runs",
        (("jobs/rule.py", 'raise Refusal("not_drained"', 'print("not_drained"'),),
        "with_runs_is_never_moved",
    ),
    Fault(
        "jobs",
        "each asking for a job is one more log entry",
        (("jobs/service.py", "if on_its_way is not None:", "if False:"),),
        "asked_for_again_costs_one_entry",
    ),
    Fault(
        "jobs",
        "orders that wait for the leader to be confirmed hold the processor",
        (
            (
                "jobs/agent.py",
                """                else:
                    gevent.sleep(UNCONFIRMED_SECONDS)""",
                "",
            ),
        ),
        "not_confirmed_waits_with_its_orders",
    ),
    Fault(
        "jobs",
        "a VM that is busy is taken for gone though it is listed",
        (("jobs/upkeep.py", "vm in self.row_by_vm:", "False:"),),
        "may_still_be_there_keeps_its_wave_open",
    ),
    Fault(
        "jobs",
        "a VM is gone once one list does not name it",
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
        "an earlier life that is known late ends an upkeep",
        (("jobs/upkeep.py", "NEW_LIFE_PART * self.upkeep_seconds", "0.0"),),
        "back_once_its_next_life_is_known",
    ),
    Fault(
        "jobs",
        "VMs in upkeep count as present",
        (
            (
                "jobs/mover.py",
                "                view.present -= "
                "away(minions_by_pool[pool.name], in_upkeep)\n",
                "",
            ),
        ),
        "leave_for_their_upkeep_are_not_present",
    ),
    Fault(
        "config",
        "an answer without a hint makes the leader forgotten",
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
        "an entry that cannot be read is passed over",
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
        "a replica that cannot read an entry serves",
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
        "a replica that cannot serve keeps what others lack to itself",
        (
            (
                "control/consensus.py",
                "self.missed_elections < CARETAKER_ELECTIONS:",
                "True:",
            ),
        ),
        "a_group_serves_while_one_replica",
    ),
    Fault(
        "config",
        "a child that fails often ends its process",
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
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "what was read is believed without a sync",
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
        "a whole file is not synced before it is renamed",
        (("durable.py", "        file.sync()\n", ""),),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "the folder is not synced after a rename",
        (("durable.py", "    disk.sync_folder(path.parent)", "    pass"),),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "the folder is not synced after a new segment",
        (
            (
                "control/storage.py",
                "segment.size\n        self.disk.sync_folder(self.folder)",
                "segment.size",
            ),
        ),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "the folder is not synced when the identity is set aside",
        (
            (
                "control/storage.py",
                "            self.quarantine_file(IDENTITY_NAME)\n"
                "            self.disk.sync_folder(self.folder)\n",
                "            self.quarantine_file(IDENTITY_NAME)\n",
            ),
        ),
        SET_ASIDE,
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
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "a record may be empty",
        (("control/batch.py", "not 0 < length <=", "not 0 <= length <="),),
        "left_its_begin",
    ),
    Fault(
        "durable",
        "each entry of a write has a record of its own",
        (
            (
                "control/storage.py",
                "data = encode_batch(Batch(self.sequence + 1, vote, tuple(entries)))",
                """data = encode_batch(Batch(self.sequence + 1, vote, ()))
        for one in entries:
            data += encode_batch(Batch(self.sequence + 1, None, (one,)))""",
            ),
        ),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "any whole record shows that the torn one had been synced",
        (
            (
                "control/batch.py",
                "return decode_batch(record_type, body).sequence > sequence",
                "return True",
            ),
        ),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "damage in front of what was synced is cut",
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
        "a snapshot is written before the segment that it names",
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
        "segments that a snapshot voided are read",
        (
            (
                "control/storage.py",
                "self.numbers(SEGMENT_NAME) if at >= first]",
                "self.numbers(SEGMENT_NAME)]",
            ),
            # Either of the two keeps such entries out.
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
        "a torn tail stays",
        (
            (
                "control/storage.py",
                "        self.truncate_file(path, end)",
                "        pass",
            ),
        ),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "the vote is not in the snapshot's segment",
        (
            (
                "control/storage.py",
                "            self.write(self.vote, entries)\n            snapshot.vote"
                " = self.vote\n",
                "            self.write(None, entries)\n",
            ),
        ),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "the audit trail is not cut to its mark",
        (
            (
                "control/audit.py",
                "        self.file.truncate(at)",
                "        pass",
            ),
        ),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "files of the audit trail begun after its mark stay",
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
        "the audit trail is not synced before its mark is written",
        (("control/audit.py", "        run_in_thread(self.file.sync)\n", ""),),
        ON_A_DISK_WITH_TROUBLES,
    ),
    Fault(
        "durable",
        "what is left of an old log is taken by a new identity",
        (
            (
                "control/storage.py",
                "        if self.holds_old_log():",
                "        if self.numbers(SEGMENT_NAME):",
            ),
        ),
        SET_ASIDE,
    ),
    Fault(
        "durable",
        "a file is closed before the next one is open",
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
        "an unforeseen error of a data folder ends the start",
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
        "a replica that is not open keeps the messages of others",
        (("control/replica.py", "        if self.is_open:\n", "        if True:\n"),),
        "not_open_knows_nothing",
    ),
    Fault(
        "durable",
        "a log without its last segment is believed",
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
        "an older commit reads the log from its end",
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
    """Copy the code as it is now, so that editing may go on."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name)
        else:
            shutil.copy(source, folder / name)


def plant(fault, base, folder):
    """Copy the code in `base` to `folder` with the fault planted."""
    shutil.copytree(base, folder, dirs_exist_ok=True)
    for name, old, new in fault.edits:
        path = folder / "hingepitch" / name
        text = path.read_text()
        if text.count(old) != 1:
            raise SystemExit(f"{fault.name}: {name} does not have {old!r} once")
        path.write_text(text.replace(old, new))


def run(fault, base):
    """Return `(caught, line, seconds)` of the test with the fault planted."""
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
    """Plant every fault, or the ones whose test contains the argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    faults = [fault for fault in FAULTS if wanted in fault.test]
    missed = 0
    with tempfile.TemporaryDirectory(prefix="hingepitch-base-") as base:
        copy_code(Path(base))
        with ThreadPoolExecutor(AT_ONCE) as pool:
            results = pool.map(lambda fault: run(fault, Path(base)), faults)
            for fault, (caught, line, seconds) in zip(faults, results, strict=True):
                missed += not caught
                word = "caught" if caught else "MISSED"
                print(f"{word}  @{fault.promise}  {fault.name}  ({seconds:.0f} s)")
                print(f"        {line}", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
