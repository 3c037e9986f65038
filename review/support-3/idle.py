# ruff: noqa: ANN001, ANN003, ANN201, ANN204, D102, D103, SIM115
"""The clause of LOST about submissions that have nothing running."""

#: "for 3 s, a submission has nothing running"
IDLE_S = 3.0
#: "if the 3 s and the 4 s before them are calm"
CALM_S = 4.0


def find_idle_breaches(
    job, events, since, until, workers, calm_from, *, however_full=False
):
    """Return descriptions of the times in which a job of one task breaks the clause.

    Each lies in the calm part of the day. There is capacity for the task twice over if
    a worker that it may run on has it free for the whole time.

    :param job: ``id``, ``cpu`` and the ids of the ``workers`` that it may run on.
    :param events: What the workers noted, in order of time.
    :param since: When the submission was accepted.
    :param until: When it was shown as ended, or the end of the observation.
    :param workers: Capacity by id of the worker.
    :param calm_from: End of the disruption.
    :param however_full: Whether the service may be more than half used, as for a task
        that lasts.
    """
    breaches = []
    for start, end in find_idle_spans(job["id"], events, since, until):
        start = max(start, calm_from + CALM_S)
        if end - start <= IDLE_S:
            continue
        used = find_most_used(events, start, end)
        has_room = any(
            workers[name] - used.get(name, 0) >= 2 * job["cpu"]
            for name in job["workers"]
        )
        is_half_used = sum(used.values()) >= sum(workers.values()) / 2
        if has_room and (however_full or not is_half_used):
            breaches.append(
                f"LOST: {job['id']} has nothing running for {end - start:.3f} s though "
                f"{' or '.join(job['workers'])} has room for it twice over"
            )
    return breaches


def find_idle_spans(job_id, events, since, until):
    """Return the times from ``since`` to ``until`` in which no task of a job runs."""
    running, idle_since, spans = set(), since, []
    for event in events:
        if not event["task"].startswith(job_id + "."):
            continue
        run = (event["worker"], event["task"], event["run"])
        if event["event"] == "started":
            if idle_since is not None:
                spans.append((idle_since, event["at"]))
            running.add(run)
            idle_since = None
        else:
            running.discard(run)
            if not running and idle_since is None:
                idle_since = event["at"]
    if idle_since is not None and idle_since < until:
        spans.append((idle_since, until))
    return spans


def find_most_used(events, start, end):
    """Return the most of each worker that was in use at once between two times."""
    running, most = {}, {}
    for event in events:
        if event["at"] >= end:
            break
        if event["at"] >= start:
            note_use(running, most)
        key = (event["worker"], event["task"], event["run"])
        if event["event"] == "started":
            running[key] = event["cpu"]
        else:
            running.pop(key, None)
        if event["at"] >= start:
            note_use(running, most)
    note_use(running, most)
    return most


def note_use(running, most):
    used = {}
    for (worker, _, _), cpu in running.items():
        used[worker] = used.get(worker, 0) + cpu
    for worker, cpu in used.items():
        most[worker] = max(most.get(worker, 0), cpu)
