"""Tests that the reference pages agree with the code."""

import configparser
import pathlib
import re

from fighead import declaration, log, settings

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"


def read_page(name):
    return (DOCS / name).read_text(encoding="utf-8")


def test_every_event_is_documented():
    rows = re.findall(
        r"^\| (\d+) \| `(\w+)` \| (\w+) \| (.+) \|$", read_page("events.md"), re.M
    )
    documented = [(int(n), name, level, text) for n, name, level, text in rows]
    defined = [(e.number, e.name.lower(), e.level, e.text) for e in log.Event]
    assert documented == defined


def test_event_numbers_are_unique():
    numbers = [event.number for event in log.Event]
    assert len(numbers) == len(set(numbers))


def test_every_event_is_used():
    source = "".join(p.read_text() for p in (ROOT / "src").rglob("*.py"))
    for event in log.Event:
        assert f"Event.{event.name}" in source, event.name


def test_every_setting_is_documented():
    page = read_page("settings.md")
    keys = re.findall(
        r'\.take\(\s*"(\w+)"', pathlib.Path(settings.__file__).read_text()
    )
    for key in keys:
        assert f"`{key}`" in page, key


def test_every_declaration_key_is_documented():
    page = read_page("declarations.md")
    source = pathlib.Path(declaration.__file__).read_text()
    for key in re.findall(r'section\.take\(\s*"(\w+)"', source):
        assert f"`{key}`" in page, key


def test_every_metric_is_documented():
    page = read_page("metrics.md")
    folder = ROOT / "src" / "fighead"
    source = (folder / "metric.py").read_text()
    source += (folder / "job_metric.py").read_text()
    for name in re.findall(r'"(fighead\.[a-z.]+)"', source):
        assert f"`{name}`" in page, name


def test_settings_example_is_valid(monkeypatch):
    monkeypatch.setenv("FIGHEAD_TOKEN", "0123456789abcdef")
    (example,) = re.findall(r"```ini\n(.+?)```", read_page("settings.md"), re.S)
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(example)
    assert settings.parse_settings(parser, "example").name == "smolyan-1"


def test_developers_page_states_the_code_structure():
    assert "tasks that own their sockets and their state" in (
        ROOT / "DEVELOPERS.md"
    ).read_text(encoding="utf-8")
