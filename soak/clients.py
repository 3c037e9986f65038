"""Clients that submit, repeat and cancel jobs, and write down what they are told."""

import datetime as dt
import json
import random
import time
import typing as t

from attrs import define, field

from fighead.clock import Clock, sleep
from fighead.http_client import (
    HttpLostError,
    HttpNotSentError,
    HttpPool,
    HttpRequest,
    HttpResponse,
)
from fighead.mailbox import spawn

from .model import JobSeen, RunSeen, Step

TIMEOUT = dt.timedelta(seconds=3)
RETRY_PAUSE = dt.timedelta(milliseconds=300)
MAX_ATTEMPTS = 5
NO_ANSWER = HttpResponse(0, b"")


@define(eq=False)
class Clients:
    """All clients of one seed.

    :param pool: Connections, which stay open until the peer closes them.
    :param addresses: Addresses of the entries.
    """

    pool: HttpPool
    clock: Clock
    addresses: list[str]
    random: random.Random
    jobs: list[JobSeen] = field(factory=list)

    async def call(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> HttpResponse:
        """Send a request; a lost answer has status 0."""
        req = HttpRequest(method, path, body)
        try:
            return await self.pool.request(address, req, TIMEOUT)
        except (HttpLostError, HttpNotSentError):
            return NO_ANSWER

    def send_random_job(self) -> None:
        """Let a client submit a job, which it may repeat or cancel later."""
        job = self._draw_job()
        self.jobs.append(job)
        spawn(self._submit(job))
        if self.random.random() < (0.5 if job.lasts else 0.1):
            spawn(self._cancel(job, self.random.uniform(0.5, 6)))

    def _draw_job(self) -> JobSeen:
        kind = self.random.random()
        if kind < 0.1:
            steps: tuple[Step, ...] = (Step(2, 500, lasts=True),)
        elif kind < 0.6:
            steps = (Step(3, 1000), Step(2, 1000, (0,)))
        else:
            steps = (Step(self.random.randint(1, 6), self.random.choice((500, 2000))),)
        run_ms = self.random.choice((100, 300, 800, 2500))
        job_id = f"{self.random.getrandbits(64):016x}"
        return JobSeen(job_id, steps, run_ms, time.time())

    async def _submit(self, job: JobSeen) -> None:
        job.is_submitting = True
        try:
            await self._submit_until_accepted(job)
        finally:
            job.is_submitting = False

    async def _submit_until_accepted(self, job: JobSeen) -> None:
        body = encode_job(job)
        for _ in range(MAX_ATTEMPTS):
            status = await self._submit_once(job, body)
            if 200 <= status < 300:
                break
            await sleep(self.clock, RETRY_PAUSE)
        if self.random.random() < 0.2:
            # A copy of the request that was under way for long.
            await sleep(self.clock, dt.timedelta(seconds=self.random.uniform(0, 4)))
            await self._submit_once(job, body)

    async def _submit_once(self, job: JobSeen, body: bytes) -> int:
        address = self.random.choice(self.addresses)
        response = await self.call(address, "POST", f"/plans/{job.job_id}", body)
        job.statuses.append(response.status)
        return response.status

    async def _cancel(self, job: JobSeen, delay_s: float) -> None:
        await sleep(self.clock, dt.timedelta(seconds=delay_s))
        job.is_cancel_sent = True
        for _ in range(MAX_ATTEMPTS):
            address = self.random.choice(self.addresses)
            path = f"/plans/{job.job_id}"
            response = await self.call(address, "DELETE", path)
            if 200 <= response.status < 300 and job.is_accepted:
                job.cancelled_s = time.time()
                return
            await sleep(self.clock, RETRY_PAUSE)

    async def read_state(self, job: JobSeen) -> str:
        """Return the state of a job at a random entry; empty without an answer."""
        address = self.random.choice(self.addresses)
        response = await self.call(address, "GET", f"/plans/{job.job_id}")
        if response.status == 200:
            return str(json.loads(response.body)["State"])
        return f"status {response.status}" if response.status else ""


def encode_job(job: JobSeen) -> bytes:
    """Return the body of a submission."""
    steps: list[dict[str, t.Any]] = []
    for step in job.steps:
        row: dict[str, t.Any] = {"Count": step.count, "Cpu": step.cpu, "MemMb": 10}
        row["EstRuntimeMs"] = job.run_ms
        if step.after:
            row["After"] = list(step.after)
        if step.lasts:
            row["LongRunning"] = True
        steps.append(row)
    lasts = any(step.lasts for step in job.steps)
    spec = "lasts" if lasts else str(job.run_ms)
    return json.dumps({"Spec": spec, "Steps": steps}).encode()


def decode_history(body: bytes, instance: str) -> list[RunSeen]:
    """Return the events that an instance tells of its runs."""
    return [
        RunSeen(row["at"], row["event"], instance, row["task"], row["run"])
        for row in json.loads(body)
    ]
