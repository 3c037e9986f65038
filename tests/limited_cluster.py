"""An entry that is told small limits, and the check of what a crowd makes it hold."""

import contextlib
import itertools
import threading

from attrs import define, field

from cluster import wait_until
from hostile_crowd import MEBIBYTE, Crowd, Footprint
from platform_cluster import PlatformCluster

#: Limits that the entry is told. The smallest machine has more of both.
MEMORY_MB = 128
MAX_DESCRIPTORS = 600
#: Descriptors of these that are reserved for files.
FILE_DESCRIPTORS = 200
#: Limit of the configuration on a body, in bytes.
BODY_LIMIT = 262_144
LARGE = BODY_LIMIT - 1024
JOB = {"Spec": "x", "Steps": [{"Count": 1, "Cpu": 100, "MemMb": 1, "EstRuntimeMs": 50}]}
METRICS_PORT = 9464
#: How long an ordinary request is repeated until it counts as not answered.
PATIENCE_S = 60


@define(eq=False)
class LimitedCluster(PlatformCluster):
    """A store, an instance and an entry that is told small limits."""

    def settings_text(self, name):
        limits = f"[Limits]\nMemoryMb = {MEMORY_MB}\nMaxFds = {MAX_DESCRIPTORS}\n"
        return super().settings_text(name) + limits


@define(eq=False)
class CrowdCheck:
    """Crowds that send to the entry of a cluster, and what must hold meanwhile."""

    cluster: LimitedCluster
    _job_numbers: object = field(factory=lambda: itertools.count(1))

    def run(self, *crowds, beside=contextlib.nullcontext):
        """Let crowds send at once, and check what the entry holds and serves meanwhile.

        :param beside: Returns a context in which the crowds send.
        """
        cluster = self.cluster
        assert wait_until(self.is_served, PATIENCE_S)
        process = cluster.processes["e0"]
        try:
            with Footprint(process.pid) as footprint, beside():
                self._send_all(crowds)
            wait_until(self.is_served, PATIENCE_S)
            wait_until(lambda: cluster.is_ready("e0"), PATIENCE_S)
        finally:
            for crowd in crowds:
                crowd.close()
        assert process.poll() is None
        assert footprint.memory <= MEMORY_MB * MEBIBYTE
        assert footprint.descriptors <= MAX_DESCRIPTORS - FILE_DESCRIPTORS

    def _send_all(self, crowds):
        threads = [threading.Thread(target=crowd.send) for crowd in crowds]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def is_served(self):
        """Whether an ordinary job is accepted."""
        job_id = f"f{next(self._job_numbers):015x}"
        return self.cluster.submit("e0", job_id, JOB)[0] == 200

    def ports(self):
        """Return the ports that the entry listens on."""
        ports = self.cluster.ports
        return {
            "clients": ports["e0"],
            "metrics": METRICS_PORT,
            "readiness": ports["e0/ready"],
            "peers": ports["e0/peer"],
        }

    def crowd(self, port, size, make_pieces):
        """Return a crowd of connections to a port, given by its name."""
        return Crowd(self.ports()[port], size, make_pieces)
