"""
hingepitch.jobs.service
~~~~~~~~~~~~~~~~~~~~~~~

The job service: answers the requests of other processes to the leader.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from contextlib import nullcontext
from functools import singledispatchmethod

from gevent.event import AsyncResult

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.error import HingepitchError
from hingepitch.jobs import question as questions
from hingepitch.jobs.accounts.account import (
    SENDER_WITHOUT_ACCOUNTS,
    caller_of,
    has_access,
    has_known_key,
)
from hingepitch.jobs.client import UNKNOWN_OUTCOME_CODES
from hingepitch.jobs.command import (
    AcceptJob,
    CancelJob,
    CancelUnknownJob,
    PutAccountQueues,
    PutQueues,
    PutWave,
)
from hingepitch.jobs.halls.cordonservice import HallService
from hingepitch.jobs.registration import MinionRegistration
from hingepitch.log import log_event
from hingepitch.model.command import Envelope, Role

__all__ = ["JobService"]

#: Retry delay given to a refused caller, in milliseconds: about the time until a
#: new leader is elected.
RETRY_AFTER_MS = 1000

#: Maximum age of the last quorum confirmation on which a read of the pending jobs
#: may rely, in seconds; 0 would need a quorum round for each read.
MAX_CONFIRMATION_AGE_SECONDS = 1.0

#: Limit of the jobs with an unknown outcome that are kept.
MAX_UNCERTAIN_JOBS = 10_000


class JobService:
    """Answers the requests that this process receives as the leader.

    `replica`
        The replica of this process.
    `roster`
        The `MinionRoster`, which receives the heartbeats of minions.
    `members`
        Answers the requests about group members, and keeps the group complete.
    `name`
        Name of this process, for the envelopes of commands.
    `accepting`
        `AsyncResult` of each job that is being recorded in the log, by id and key.
    `find_admission`
        Function that returns the `AdmissionController` of the current session, or None.
    `uncertain`
        Ids of the jobs whose recording had an unknown outcome, as keys, oldest first.
    `minions`
        The `MinionRegistration`, which answers what minions say of themselves.
    `halls`
        The `HallService`, which answers the requests about halls.
    """

    def __init__(self, replica, roster, members, name):
        self.replica = replica
        self.roster = roster
        self.members = members
        self.name = name
        self.confirmed_at = 0.0
        self.accepting = {}
        self.find_admission = lambda: None
        self.uncertain = {}
        self.minions = MinionRegistration(self)
        self.halls = HallService(self)

    @property
    def table(self):
        """The replicated job table."""
        return self.replica.state.jobs

    def propose(self, role, command):
        """Propose a command for the log; raise `HingepitchError` if it is refused."""
        outcome = self.replica.propose(Envelope(role, "", self.name, command))
        if not outcome.accepted:
            raise HingepitchError(outcome.code, outcome.detail, RETRY_AFTER_MS)

    def confirm_leadership(self):
        """Confirm that this replica leads and has applied all committed entries."""
        self.replica.confirm_leadership()
        self.confirmed_at = lease_seconds()

    @singledispatchmethod
    def answer(self, question):
        """Return the response to `question`; raise `HingepitchError`."""
        raise HingepitchError("bad_request", f"unknown request type: {question!r}")

    @answer.register
    def _(self, question: questions.GiveJob):
        # Applied entries are committed, so a known job needs no second entry.
        if self.is_known(question):
            return
        pending_result = self.accepting.get((question.id, question.key))
        if pending_result is not None:
            pending_result.get()
            return
        self.accept_once(question)

    def is_known(self, question):
        """Whether a job is accepted already; refuse a call that has no access to it.

        The log checks the key of a new job again, in the order of its entries.
        """
        job = self.table.job_by_id.get(question.id)
        if not self.table.has_accounts:
            return job is not None
        if job is None and has_known_key(self.table, question, job):
            return False
        self.confirm_leadership()
        job = self.table.job_by_id.get(question.id)
        caller = caller_of(self.table, question, job)
        if job is not None and not has_access(self.table, job, caller):
            raise HingepitchError("job_id_taken", question.id)
        return job is not None

    def accept_once(self, question):
        """Accept a job; concurrent requests for the same job share the result.

        A job thus costs one log entry, however often its entry retries. Without
        this, 485 jobs cost 1,423 log entries in ten seconds of overload.
        """
        call = question.id, question.key
        result = self.accepting[call] = AsyncResult()
        try:
            self.accept(question)
        except HingepitchError as error:
            result.set_exception(error)
            raise
        except BaseException:
            result.set_exception(
                HingepitchError("lost_leadership", "recording the job was aborted")
            )
            raise
        else:
            result.set(None)
        finally:
            del self.accepting[call]

    def accept(self, question):
        """Record a job in the log, unless admission control refuses it."""
        at_ms = wall_ms()
        command = AcceptJob(
            question.id,
            question.host,
            question.path,
            question.spec,
            at_ms,
            question.key,
            question.known_index,
        )
        with self.admitting(question, at_ms):
            self.propose_job(command)
        log_event(
            "job_accepted",
            job=question.id,
            host=question.host,
            path=question.path,
            steps=len(question.spec.steps),
            config=self.table.config.version,
            account=self.account_of(question.id),
        )

    def admitting(self, question, at_ms):
        """Return the context in which a job is recorded, if it is admitted.

        A job that the log may still come to accept is never refused.
        """
        admission = self.find_admission() if question.knows_admission_errors else None
        if admission is None or question.id in self.uncertain:
            return nullcontext()
        return admission.admitting(question, at_ms)

    def propose_job(self, command):
        """Propose a job for the log; note it if the outcome is unknown."""
        is_settled = False
        try:
            self.propose(Role.ENTRY, command)
            is_settled = True
        except HingepitchError as error:
            is_settled = error.code not in UNKNOWN_OUTCOME_CODES
            if error.code == "job_cancelled" and command.known_index is None:
                # The entry is of a version that does not know the code.
                raise HingepitchError("unknown_job", command.id) from None
            raise
        finally:
            if not is_settled:
                self.uncertain[command.id] = None
                if len(self.uncertain) > MAX_UNCERTAIN_JOBS:
                    del self.uncertain[next(iter(self.uncertain))]

    def account_of(self, job_id):
        """Return the name of the account of a job; empty if it has none."""
        job = self.table.job_by_id.get(job_id)
        return job.account if job is not None else ""

    @answer.register
    def _(self, question: questions.AskJob):
        self.confirm_leadership()
        job = self.table.job_by_id.get(question.id)
        if job is None:
            self.require_queue(question)
        caller = caller_of(self.table, question, job)
        if job is None or not has_access(self.table, job, caller):
            raise HingepitchError("unknown_job", question.id)
        return job.status.value

    @answer.register
    def _(self, question: questions.AskCancel):
        job = self.table.job_by_id.get(question.id)
        self.require_known_key(question, job)
        if job is None or not self.cancel_known(question):
            self.cancel_unknown(question)
        log_event("job_cancelled", job=question.id)

    def cancel_known(self, question):
        """Cancel a job; return False if it is not known to the caller any more."""
        command = CancelJob(
            question.id, wall_ms(), question.host, question.path, question.key
        )
        try:
            self.propose(Role.ENTRY, command)
        except HingepitchError as error:
            if error.code != "unknown_job":
                raise
            return False
        return True

    def cancel_unknown(self, question):
        """Cancel a job that is not known; raise `unknown_job` if that is still so.

        No call from before the answer brings the job about then.
        """
        command = CancelUnknownJob(
            question.id, wall_ms(), question.host, question.path, question.key
        )
        self.propose(Role.ENTRY, command)
        job = self.table.job_by_id.get(question.id)
        caller = caller_of(self.table, question, job)
        if job is None or not has_access(self.table, job, caller):
            raise HingepitchError("unknown_job", question.id)

    def require_known_key(self, question, job):
        """Refuse a call with an unknown key, without a log entry for each."""
        if not self.table.has_accounts or has_known_key(self.table, question, job):
            return
        self.confirm_leadership()
        caller_of(self.table, question, job)

    @answer.register
    def _(self, question: questions.AskPending):
        age = lease_seconds() - self.confirmed_at
        if self.table.has_accounts or age > MAX_CONFIRMATION_AGE_SECONDS:
            self.confirm_leadership()
        queue = self.require_queue(question)
        caller_of(self.table, question, None)
        return self.table.pending_by_route[queue.route]

    def require_queue(self, question):
        """Return the queue of a request; raise `no_queues` or `unknown_queue`."""
        if self.table.config is None:
            raise HingepitchError("no_queues", "", RETRY_AFTER_MS)
        queue = self.table.queues.find(question.host, question.path)
        if queue is None:
            raise HingepitchError("unknown_queue", f"{question.host}{question.path}")
        return queue

    @answer.register
    def _(self, question: questions.GiveConfig):
        if self.table.has_accounts:
            # The log refuses it too; the sender asks again, each time with an entry.
            raise HingepitchError("no_leader", SENDER_WITHOUT_ACCOUNTS, RETRY_AFTER_MS)
        self.put_config(PutQueues(question.config))

    @answer.register
    def _(self, question: questions.GiveAccountConfig):
        self.put_config(PutAccountQueues(question.config))

    def put_config(self, command):
        """Record a configuration in the log."""
        before = self.table.config
        self.propose(Role.OPERATOR, command)
        log_event(
            "queues_put",
            version=command.config.version,
            before=before.version if before else 0,
            held=self.table.config.version,
            accounts=len(self.table.config.accounts),
        )

    @answer.register
    def _(self, question: questions.AskConfig):
        self.confirm_leadership()
        config = self.table.config
        return config.document if config is not None else None

    @answer.register
    def _(self, question: questions.AskKeys):
        self.confirm_leadership()
        config = self.table.config
        if config is None:
            raise HingepitchError("no_queues", "", RETRY_AFTER_MS)
        if config.version == question.known_version:
            return None
        return questions.KeyListing(
            config.version,
            [
                questions.ListedQueue(queue.host, queue.path_prefix, queue.is_public)
                for queue in config.queues
            ],
            list(self.table.accounts.account_by_key),
        )

    @answer.register
    def _(self, question: questions.GiveWave):
        due_ms = wall_ms() + question.duration_ms
        self.propose(
            Role.OPERATOR,
            PutWave(question.number, question.vms, question.max_down, due_ms),
        )
        log_event(
            "wave_put",
            wave=question.number,
            vms=len(question.vms),
            max_down=question.max_down,
        )

    @answer.register
    def _(self, question: questions.AskWave):
        self.confirm_leadership()
        wave = self.table.wave_by_number.get(question.number)
        if wave is None:
            raise HingepitchError("unknown_object", f"no wave {question.number}")
        return wave.is_done

    @answer.register
    def _(self, question: questions.AskHalls):
        return self.halls.listing()

    @answer.register
    def _(self, question: questions.SetCordon):
        self.halls.set_cordon(question)

    @answer.register
    def _(self, question: questions.NoteBeat):
        if not self.replica.is_leader:
            raise HingepitchError("not_leader")
        self.minions.note_heartbeat(question)

    @answer.register
    def _(self, question: questions.NoteLeaving):
        self.minions.note_leaving(question.id)

    @answer.register
    def _(self, question: questions.JoinGroup):
        return self.members.register_applicant(question)

    @answer.register
    def _(self, question: questions.AskMembers):
        return self.members.rows()

    @answer.register
    def _(self, question: questions.AskLogIndex):
        return self.replica.applied_index
