"""Tests of declarations, settings and the comparison of inventories."""

import configparser
import pathlib

import pytest

from fighead import declaration
from fighead.exceptions import DeclarationError, SettingsError
from fighead.settings import parse_settings

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
RULES = (EXAMPLES / "demo" / "rules.ini").read_text()
INSTANCE = """
[instance bench-1]
upstream = carving
rack = smolyan-1
address = http://127.0.0.1:9000
"""


@pytest.mark.parametrize("name", ["rodopi", "inzira"])
def test_shipped_deployments_are_valid(name):
    inventory = declaration.load_folder(str(EXAMPLES / name))
    assert len(inventory.instances) == 24
    assert len(inventory.availability_zones) == 3


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[instance bench-2]\nupstream = none", "rack is missing"),
        ("[rack r9]\navailability_zone = mars", "unknown availability zone 'mars'"),
        ("[rack smolyan-1]\navailability_zone = devin", "already exists"),
        ("[kind carving/x]\ncategory = later", "must be check, plan or watch"),
        ("[kind x]\ncategory = plan", "must have the form [kind UPSTREAM/NAME]"),
        (
            "[upstream u]\ncheck_floor = 0.8\nbatch_floor = 0.5",
            "check_floor = 0.8 and batch_floor = 0.5 add up to more than 1",
        ),
        ("[caller Other]\naliases = smolyan WKSHP", "belongs to both"),
        ("[instance bench-2]\ncolour = red", "colour is an unknown key"),
        ("[planet mars]", "is an unknown section: use one of"),
        ("nonsense", "no section headers"),
        (INSTANCE.replace("bench-1", "bench-2"), "same address as bench-1"),
    ],
)
def test_errors_include_a_remedy(text, message):
    with pytest.raises(DeclarationError, match="Remedy") as caught:
        declaration.parse_text(
            f"{text}\n{RULES}\n{INSTANCE}"
            if text == "nonsense"
            else f"{RULES}\n{INSTANCE}\n{text}"
        )
    assert message in str(caught.value)


def test_difference_lists_added_and_changed_items():
    old = declaration.parse_text(RULES)
    text = RULES.replace("deadline_ms = 1000", "deadline_ms = 500")
    new = declaration.parse_text(text + INSTANCE)
    lines = declaration.diff_inventories(old, new)
    assert "+ instance bench-1" in lines
    assert "~ kind carving/blade-check: deadline 1 s -> 0.5 s" in lines


def test_register_in_csv_becomes_declarations():
    text = declaration.read_register(
        "name,upstream,rack,address,slots\n"
        "mill-1,carving,smolyan-1,http://10.0.0.1:8000,8\n"
    )
    inventory = declaration.parse_text(RULES + text)
    assert inventory.instances["mill-1"].slots == 8
    with pytest.raises(DeclarationError, match="unknown columns"):
        declaration.read_register("name,colour\nmill-1,red\n")


def test_settings_report_all_errors_at_once_and_no_secret():
    parser = configparser.ConfigParser()
    parser.read_string(
        "[entry]\nname = A B\nlease_ttl_s = 900\n"
        "[operator_front]\ntoken = secret\n[colour]\nred = 1\n"
    )
    with pytest.raises(SettingsError) as caught:
        parse_settings(parser, "entry.ini")
    text = str(caught.value)
    for part in ("[entry] name", "lease_ttl_s", "[store] url is missing", "[colour]"):
        assert part in text
    assert "'secret'" not in text


def test_plain_is_rejected_off_loopback():
    parser = configparser.ConfigParser()
    parser.read_string(
        "[entry]\nname = a\navailability_zone = z\n"
        "[caller_front]\nlisten = 10.0.0.1:1\n"
        "[operator_front]\nlisten = 127.0.0.1:2\ntoken = 0123456789abcdef\n"
        "[peer_link]\nlisten = tcp://127.0.0.1:3\n"
        "[store]\nurl = http://127.0.0.1:4\n[security]\nplain = yes\n"
    )
    with pytest.raises(SettingsError, match="loopback only"):
        parse_settings(parser, "entry.ini")
