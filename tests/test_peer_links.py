"""Which connections to the port for other entries are closed."""

import datetime as dt

from fighead.decisions.peer_links import PeerLink, choose_links_to_close

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)


def make_links(host, count, is_proven=False, opened=0):
    return [
        PeerLink(
            number,
            (host, number),
            START + dt.timedelta(seconds=opened + number),
            is_proven,
        )
        for number in range(count)
    ]


# Load: strangers who open connections to the port for entries and send nothing.
def test_strangers_go_before_members_and_entries_that_have_sent_a_message():
    strangers = make_links("9.9.9.9", 20, opened=100)
    members = make_links("1.1.1.1", 2)
    proven = make_links("2.2.2.2", 30, is_proven=True)
    links = [*members, *strangers, *proven]
    chosen = choose_links_to_close(links, {"1.1.1.1": 1}, 8, 50)
    assert chosen == strangers[11::-1]


# Failure: a member that starts again is kept out by the connection of its past.
def test_the_latest_connections_of_a_member_are_kept():
    links = make_links("1.1.1.1", 12)
    chosen = choose_links_to_close(links, {"1.1.1.1": 1}, 8, 50)
    assert chosen == [links[1], links[0]]


# Failure: forged messages of strangers make their number unbounded.
def test_all_connections_together_are_bounded():
    links = make_links("9.9.9.9", 60, is_proven=True)
    assert choose_links_to_close(links, {}, 8, 50) == links[:10]
