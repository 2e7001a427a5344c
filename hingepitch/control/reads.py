"""
hingepitch.control.reads
~~~~~~~~~~~~~~~~~~~~~~~~

The leader's part of the consensus core that answers linearizable reads.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.message import ReadReady, Refuse

__all__ = ["Reads"]


class Reads:
    """The part of `Consensus` that answers or refuses the reads that wait.

    It changes `reads`.
    """

    def refuse_reads(self):
        """Refuse the reads that still wait for a quorum to confirm their round."""
        for _, token, _ in self.reads:
            self.emit(Refuse(token, "not_leader"))
        self.reads = []

    def release_reads(self):
        """Answer the reads whose round a quorum has confirmed.

        A confirmed round also confirms all earlier ones.
        """
        ready = []
        for read in self.reads:
            confirmed = [
                identity
                for identity, progress in self.progress_by_identity.items()
                if progress.sequence >= read[0]
            ]
            if self.is_quorum([self.identity, *confirmed]):
                ready.append(read)
        if ready:
            last = ready[-1][0]
            for _, token, index in (read for read in self.reads if read[0] <= last):
                self.emit(ReadReady(token, index))
            self.reads = [read for read in self.reads if read[0] > last]
