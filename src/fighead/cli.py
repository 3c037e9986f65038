"""The command line; docs/cli.md lists its commands, flags and exit codes."""

import datetime as dt
import json
import os
import pathlib
import sys
import typing as t

import attrs
import fire
import fire.parser
import zmq

from . import console, daemon
from .clock import Clock
from .codec import to_json
from .commands import remote as commands
from .declaration import load_folder, read_register
from .exceptions import FigheadError, RequestError, SettingsError
from .job import MILLICORES_PER_CORE, Demand
from .operator_client import OperatorClient
from .queries import remote as queries
from .queries import where_request
from .queries.explain import find_events
from .run import RegisteredInstance
from .settings import load_settings, read_address
from .standins.simulated_instance import Interference

EXIT_OK = 0
#: Exit code if 'load' finds a violation or 'explain' finds no event.
EXIT_FAILURE = 1
#: Exit code if 'apply' times out before all live entries have the revision.
EXIT_NOT_IN_FORCE = 3
#: Name after 'explain' with which it asks the leader instead of reading logs.
WHERE = "where"
DEFAULT_OPERATOR = "http://127.0.0.1:7200"
REPORT_FORMATS = ("text", "json", "html")
TOKEN_VARIABLE = "FIGHEAD_TOKEN"  # noqa: S105


class StandIn:
    """Stand-ins for services of the platform, for the demo and tests."""

    def store(self, listen: str, seed: int = 0) -> None:
        """Run a stand-in for the key-value service.

        Args:
            listen: IP:port to listen on.
            seed: Seed of the random choice of lost answers.
        """
        daemon.serve_store(read_address(listen), seed)

    def worker(
        self,
        listen: str,
        name: str,
        slots: int = 8,
        memory_gib: int = 250,
        interference: str = "",
        guard: bool = True,
    ) -> None:
        """Run a stand-in for one instance.

        Args:
            listen: IP:port to listen on.
            name: Name of the instance.
            slots: Number of tasks that it runs at once.
            memory_gib: Memory for tasks, in GiB.
            interference: Items NOISY:KIND:ADDED, separated by spaces. Each running
                task of kind NOISY adds the share ADDED to the run time of a task of
                kind KIND; * stands for every kind.
            guard: Whether orders with a stale epoch, duplicate tasks and tasks that do
                not fit are refused.
        """
        rules = tuple(_parse_interference(item) for item in interference.split())
        address = read_address(listen)
        memory = memory_gib << 30
        daemon.serve_worker(address, name, slots, memory, rules, guard)


class Platform:
    """Entries for the users' platform, and stand-ins for its services."""

    def serve(self, settings: str = "") -> None:
        """Run one entry with a platform settings file.

        Args:
            settings: Path of the file; by default, the one in the environment variable
                that the platform sets.
        """
        # Imported only here because it brings its own reactor and fronts.
        from .platform import daemon as platform_daemon

        platform_daemon.serve(settings)

    def check(self, settings: str) -> None:
        """Validate a platform settings file and report all its errors.

        Args:
            settings: Path of the file.
        """
        from .platform.settings import load_platform_settings

        cfg = load_platform_settings(settings)
        print(f"The settings of entry {cfg.name} are valid.")

    def store(self, listen: str, seed: int = 0) -> None:
        """Run a stand-in for the platform's key-value service.

        Args:
            listen: IP:port to listen on.
            seed: Seed of the random choice of lost answers.
        """
        from .platform import standin_daemon

        standin_daemon.serve_store(read_address(listen), seed)

    def instance(
        self,
        listen: str,
        name: str,
        upstream: str,
        store: str,
        cores: int = 64,
        address: str = "",
    ) -> None:
        """Run a stand-in for an instance, which registers itself in the store.

        Args:
            listen: IP:port to listen on.
            name: Id of the instance.
            upstream: Name of the upstream whose tasks it runs.
            store: IP:port of the key-value service or of its stand-in.
            cores: Number of cores; it has 4 GiB of memory for each.
            address: IP:port at which it is reached, if not at ``listen``.
        """
        capacity = Demand(cores * MILLICORES_PER_CORE, cores * 4096, 0)
        instance = RegisteredInstance(
            name, "", address or listen, upstream, "demo", capacity, ("a", "rack-1")
        )
        from .platform import standin_daemon

        standin_daemon.serve_instance(read_address(listen), instance, store)


class Cli:
    """fighead schedules latency-critical and batch work on shared instances.

    Operator commands and queries call the entry at --operator and send the
    token in the environment variable FIGHEAD_TOKEN.
    """

    def __init__(self) -> None:
        self.standin = StandIn()
        self.platform = Platform()

    def serve(self, settings: str) -> None:
        """Run one entry.

        Args:
            settings: Path of the entry's INI file.
        """
        daemon.serve_entry(load_settings(settings))

    def check(self, settings: str = "", declarations: str = "") -> None:
        """Validate settings or declarations without connecting to an entry.

        Args:
            settings: Path of an entry's INI file.
            declarations: Folder of INI files.
        """
        if settings:
            cfg = load_settings(settings)
            print(f"The settings of entry {cfg.name} are valid.")
        if declarations:
            inventory = load_folder(declarations)
            print(
                f"The declarations of {len(inventory.instances)} instances are valid."
            )

    # The default applies to the names in ``logs``, among them job IDs.
    @fire.decorators.SetParseFn(str)
    @fire.decorators.SetParseFns(
        name=str, entry=str, json=fire.parser.DefaultParseValue
    )
    def explain(
        self,
        name: str,
        *logs: str,
        json: bool = False,
        entry: str = where_request.DEFAULT_ENTRY,
    ) -> None:
        """Print the log events of a job, task or instance, ordered by timestamp.

        'explain where SPEC|JOB-ID' asks the leader where a job would go now, and why.
        SPEC is a file with {"queue": NAME, "job": {...}}.

        Args:
            name: Id of the job, name of a task, or id of an instance; or 'where'.
            logs: Log files of all entries; standard input if none is given.
            json: Whether to print JSON.
            entry: IP:port of the leader's metrics, for 'where'.
        """
        if name == WHERE:
            _explain_where(logs, entry, json)
            return
        lines = find_events(_read_logs(logs), str(name))
        if json:
            _print_json([attrs.asdict(line) for line in lines])
        else:
            print("\n".join(line.render() for line in lines) or "nothing is logged")
        if not lines:
            sys.exit(EXIT_FAILURE)

    def register(self, csv: str) -> None:
        """Convert an asset register to declarations of instances and print them.

        Args:
            csv: Path of a CSV file with the column names in its first line.
        """
        print(read_register(pathlib.Path(csv).read_text(encoding="utf-8")), end="")

    def plan(
        self, declarations: str, operator: str = DEFAULT_OPERATOR, json: bool = False
    ) -> None:
        """Show what applying a folder of declarations would change.

        Args:
            declarations: Folder of INI files.
            operator: Address of an entry's operator front.
            json: Whether to print JSON.
        """

        async def main(_reactor: t.Any, _clock: Clock) -> int:
            client = _make_client(operator)
            number, lines = await queries.plan_change(client, declarations)
            if json:
                _print_json({"base": number, "changes": lines})
            else:
                print(f"Based on revision {number}:")
                print("\n".join(lines) or "no changes")
            return EXIT_OK

        console.run_command(main)

    def apply(
        self,
        declarations: str,
        base: int,
        author: str,
        operator: str = DEFAULT_OPERATOR,
        change_id: str = "",
        timeout_s: float = 15.0,
    ) -> None:
        """Apply a folder of declarations and wait until the change is in force.

        Args:
            declarations: Folder of INI files.
            base: Number of the revision that 'plan' showed; the change is refused if
                it is no longer the latest.
            author: Who makes the change.
            operator: Address of an entry's operator front.
            change_id: Pass the same id to repeat a change safely after a lost answer;
                random by default.
            timeout_s: Seconds to wait for all live entries to apply the change.
        """

        async def main(_reactor: t.Any, clock: Clock) -> int:
            client = _make_client(operator)
            revision = await commands.apply_folder(
                client, declarations, base, author, change_id
            )
            print(f"Accepted as revision {revision.number}.")
            timeout = dt.timedelta(seconds=timeout_s)
            status = await queries.wait_until_in_force(
                client, clock, revision.number, timeout
            )
            if status.in_force and status.revision >= revision.number:
                print(f"In force at {len(status.members)} entries.")
                return EXIT_OK
            print(f"Not yet in force at: {', '.join(status.lagging) or 'all'}.")
            return EXIT_NOT_IN_FORCE

        console.run_command(main)

    def history(self, operator: str = DEFAULT_OPERATOR, json: bool = False) -> None:
        """Show the accepted revisions that are still stored."""
        _fetch_and_print(operator, "/v1/history", json, _render_history)

    def status(self, operator: str = DEFAULT_OPERATOR, json: bool = False) -> None:
        """Show members and claims, and the instances and lines that the entry owns."""
        _fetch_and_print(operator, "/v1/status", json, _render_status)

    def callers(self, operator: str = DEFAULT_OPERATOR, json: bool = False) -> None:
        """Show undeclared caller names with the most similar declared ones."""
        _fetch_and_print(operator, "/v1/callers", json, _render_callers)

    def report(
        self,
        operator: str = DEFAULT_OPERATOR,
        format: str = "text",
        out: str = "",
    ) -> None:
        """Report the error-budget burn of each kind of work over all windows.

        Args:
            operator: Address of an entry's operator front.
            format: One of text, json and html.
            out: Path of the file to write; standard output if empty.
        """
        if format not in REPORT_FORMATS:
            raise SettingsError(
                f"The report format {format!r} is unknown.",
                f"Use one of {', '.join(REPORT_FORMATS)}.",
            )

        async def main(_reactor: t.Any, _clock: Clock) -> int:
            text = await queries.fetch_burn_report(_make_client(operator), format)
            if out:
                pathlib.Path(out).write_text(text + "\n", encoding="utf-8")
            else:
                print(text)
            return EXIT_OK

        console.run_command(main)

    def work(
        self,
        entry: str,
        upstream: str,
        caller: str,
        request_id: str,
        cancel: bool = False,
    ) -> None:
        """Show the state of one plan or watch, or cancel it.

        Args:
            entry: Address of an entry's caller front.
            upstream: Name of the upstream.
            caller: Name of the caller or one of its aliases.
            request_id: The caller's own id of the request.
            cancel: Whether to cancel it.
        """

        async def main(_reactor: t.Any, _clock: Clock) -> int:
            method = "DELETE" if cancel else "GET"
            answer = await queries.send_work_request(
                entry, method, upstream, caller, request_id
            )
            _print_json(answer)
            return EXIT_OK if answer.get("request_id") else console.EXIT_REFUSED

        console.run_command(main)

    def keys(self) -> None:
        """Generate and print a key pair for the connections between entries."""
        public, secret = zmq.curve_keypair()
        print(f"public_key = {public.decode()}\nsecret_key = {secret.decode()}")

    def drain(self, operator: str = DEFAULT_OPERATOR) -> None:
        """Start a planned stop of the entry at --operator; don't wait for its end."""

        async def main(_reactor: t.Any, _clock: Clock) -> int:
            await commands.drain_entry(_make_client(operator))
            print("The entry is draining; its process exits once it has stopped.")
            return EXIT_OK

        console.run_command(main)

    def load(
        self,
        plan: str,
        entries: str,
        workers: str = "",
        seed: int = 0,
        out: str = "",
    ) -> None:
        """Run a load plan against entries and check the guarantees.

        Args:
            plan: Path of the load plan, an INI file.
            entries: Base URLs of caller fronts, separated by spaces.
            workers: Base URLs of stand-ins for instances, separated by spaces.
            seed: Seed in place of the plan's own; 0 for the plan's own.
            out: Path of the file to write the results to as JSON; none if empty.
        """

        async def main(reactor: t.Any, clock: Clock) -> int:
            result = await console.run_load(
                reactor,
                clock,
                plan,
                tuple(entries.split()),
                tuple(workers.split()),
                seed,
            )
            print(console.format_result(result))
            if out:
                console.write_result(result, out)
            return EXIT_FAILURE if result.verdict.breaches else EXIT_OK

        console.run_command(main)


def _explain_where(targets: t.Sequence[str], entry: str, as_json: bool) -> None:
    if len(targets) != 1:
        raise RequestError(
            f"'explain where' got {len(targets)} arguments.",
            "Give one file or job ID.",
        )
    # Checked before the reactor runs, so that bad input needs no entry.
    where_request.read_target(targets[0])

    async def main(_reactor: t.Any, _clock: Clock) -> int:
        found = await where_request.ask_where(entry, targets[0])
        if as_json:
            _print_json(json.loads(to_json(found)))
        else:
            print(where_request.render(found))
        return where_request.EXIT_CODES[found.outcome]

    console.run_command(main)


def _read_logs(paths: t.Sequence[str]) -> t.Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            raise SettingsError(
                f"{path} can't be read: {exc}.", "Give the path of a log file."
            ) from exc


def _make_client(operator: str) -> OperatorClient:
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        raise SettingsError(
            f"The environment variable {TOKEN_VARIABLE} is not set or empty.",
            "Set it to the token in section [operator_front] of the entry's settings.",
        )
    return OperatorClient(operator.rstrip("/"), token)


def _fetch_and_print(
    operator: str, path: str, as_json: bool, render: t.Callable[[t.Any], str]
) -> None:
    async def main(_reactor: t.Any, _clock: Clock) -> int:
        answer = await _make_client(operator).get(path)
        if as_json:
            _print_json(answer)
        else:
            print(render(answer))
        return EXIT_OK

    console.run_command(main)


def _print_json(value: t.Any) -> None:
    print(json.dumps(value, indent=2, ensure_ascii=False))


def _render_history(rows: t.Any) -> str:
    lines = []
    for row in rows:
        lines.append(f"{row['number']:5} {row['accepted_at']} {row['author']}")
        lines.extend(f"      {line}" for line in row.get("summary", []))
    return "\n".join(lines) or "no revisions yet"


def _render_status(status: t.Any) -> str:
    lines = [f"{status['entry']}: revision {status['revision']}"]
    if status.get("lagging"):
        lines.append(f"not yet in force at {', '.join(status['lagging'])}")
    for member in status["members"]:
        state = "ready" if member["ready"] else "draining"
        lines.append(
            f"  entry {member['name']} ({member['availability_zone']}, {state}): "
            f"revision {member['applied_revision']}, {member['claims']} claims"
        )
    if status["unclaimed"]:
        lines.append(f"  unclaimed: {', '.join(status['unclaimed'])}")
    for instance in status["instances"]:
        lines.append(
            f"  instance {instance['name']}: {instance['stage']}, "
            f"{instance['checks']} checks, {instance['batch_tasks']} tasks, "
            f"{instance['queued_checks']} queued, {instance['level']}"
        )
    for line in status["lines"]:
        lines.append(f"  line {line['upstream']}: waiting {line['waiting']}")
    return "\n".join(lines)


def _render_callers(rows: t.Any) -> str:
    lines = [
        f"{row['seen']:6} {row['spelling']!r}: {', '.join(row['nearest']) or '?'}"
        for row in rows
    ]
    return "\n".join(lines) or "no unknown spellings"


def _parse_interference(item: str) -> Interference:
    noisy, kind, added = item.split(":")
    return Interference(noisy, kind, float(added))


def main() -> None:
    """Run the command line; print a :exc:`.FigheadError` and exit with code 2."""
    try:
        fire.Fire(Cli, name="fighead")
    except FigheadError as exc:
        print(f"fighead: {exc}", file=sys.stderr)
        sys.exit(console.EXIT_REFUSED)
