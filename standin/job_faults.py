"""
standin.job_faults
~~~~~~~~~~~~~~~~~~

Planted faults in jobs, their runs and the minions.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["JOB_FAULTS"]

JOB_FAULTS = (
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
)
