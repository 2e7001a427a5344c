"""
hingepitch.error
~~~~~~~~~~~~~~~~

Error codes and the exception that carries them.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["ERROR_BY_CODE", "ErrorKind", "HingepitchError", "ExitCode"]


class ExitCode:
    """Exit codes of every program."""

    SUCCESS = 0
    FAILED = 1
    BAD_SETTINGS = 2
    BROKEN_INVARIANT = 3


@dataclass(frozen=True, slots=True)
class ErrorKind:
    """HTTP status and title of an error code."""

    status: int
    title: str


#: All error codes, as they appear in answers to callers and operators and in logs.
ERROR_BY_CODE = {
    "bad_framing": ErrorKind(400, "The request is not framed unambiguously"),
    "bad_request": ErrorKind(400, "The request cannot be understood"),
    "bad_selector": ErrorKind(400, "The selector cannot be parsed"),
    "bad_settings": ErrorKind(400, "The settings are not valid"),
    "bad_object": ErrorKind(400, "The object is not valid"),
    "bad_job": ErrorKind(400, "The job is not valid"),
    "unknown_queue": ErrorKind(404, "There is no such queue"),
    "unknown_hall": ErrorKind(404, "There is no such hall"),
    "unknown_job": ErrorKind(410, "There is no such job"),
    "job_cancelled": ErrorKind(410, "The job was cancelled before it was accepted"),
    "stale_call": ErrorKind(503, "The call has been under way for too long"),
    "over_quota": ErrorKind(422, "The quota of the account is too small for the job"),
    "job_id_taken": ErrorKind(409, "Another account has a job with this id"),
    "too_many_jobs": ErrorKind(429, "Too many jobs are open"),
    "over_rate": ErrorKind(429, "The account exceeds its rate and the pool is full"),
    "cannot_finish": ErrorKind(503, "The job would finish too late to be useful"),
    "life_absent": ErrorKind(503, "The life of the minion does not answer"),
    "life_present": ErrorKind(503, "The life of the minion may go on"),
    "no_queues": ErrorKind(503, "No queue is configured yet"),
    "unauthenticated": ErrorKind(401, "No valid token or key was given"),
    "forbidden": ErrorKind(403, "The object belongs to the other partner"),
    "unknown_service": ErrorKind(404, "There is no such service"),
    "unknown_object": ErrorKind(404, "There is no such object"),
    "stale_version": ErrorKind(409, "The object has changed since"),
    "stale_fence": ErrorKind(409, "The planner lease has passed to another"),
    "lease_held": ErrorKind(409, "Another holder has the lease"),
    "budget_spent": ErrorKind(409, "The availability budget is spent"),
    "wrong_pool": ErrorKind(409, "The VM is not in that pool"),
    "pool_is_decided": ErrorKind(409, "Only the system moves a VM to a pool"),
    "not_selected": ErrorKind(409, "The selector does not match the VM"),
    "wrong_life": ErrorKind(409, "The VM is in another state of its life"),
    "not_drained": ErrorKind(409, "The VM is not drained"),
    "wrong_boot": ErrorKind(409, "The VM has not booted anew"),
    "quota_spent": ErrorKind(409, "The quota of the team is spent"),
    "no_room": ErrorKind(409, "The VM has no room for the job"),
    "key_in_progress": ErrorKind(409, "The request with this key is running"),
    "key_unknown": ErrorKind(409, "Whether the request with this key ran is unknown"),
    "key_reused": ErrorKind(422, "The key was used for another request"),
    "key_missing": ErrorKind(400, "This service needs an Idempotency-Key"),
    "body_too_large": ErrorKind(413, "The body is over the limit"),
    "header_too_large": ErrorKind(431, "The headers are over the limit"),
    "overloaded": ErrorKind(503, "There is no free slot in time"),
    "no_minion": ErrorKind(503, "No minion can take the request"),
    "no_lease": ErrorKind(503, "This entry has no lease at the moment"),
    "draining": ErrorKind(503, "This process is stopping"),
    "not_leader": ErrorKind(503, "This replica does not lead"),
    "no_leader": ErrorKind(503, "The control group has no leader now"),
    "lost_leadership": ErrorKind(503, "The outcome of the command is unknown"),
    "queue_full": ErrorKind(503, "Too many commands wait"),
    "storage_failed": ErrorKind(503, "The data folder cannot be written"),
    "storage_damaged": ErrorKind(500, "The log is damaged"),
    "storage_unknown": ErrorKind(500, "Another version wrote the data folder"),
    "folder_locked": ErrorKind(500, "Another process uses the data folder"),
    "peer_unreachable": ErrorKind(503, "No connection to another process"),
    "peer_failed": ErrorKind(502, "The call to another process failed"),
    "minion_failed": ErrorKind(502, "The minion gave no whole answer"),
    "deadline_passed": ErrorKind(504, "The deadline has passed"),
    "platform_failed": ErrorKind(502, "The platform did not answer"),
    "broken_invariant": ErrorKind(500, "An invariant is broken"),
    "internal": ErrorKind(500, "Unexpected failure"),
}


class HingepitchError(Exception):
    """An error with a code of `ERROR_BY_CODE`.

    `detail`
        Human-readable description of what happened.
    `retry_after_ms`
        Milliseconds after which the caller may retry, or None.
    """

    def __init__(self, code, detail="", retry_after_ms=None):
        if code not in ERROR_BY_CODE:
            raise KeyError(f"unknown error code: {code}")
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def status(self):
        """The HTTP status of the code."""
        return ERROR_BY_CODE[self.code].status
