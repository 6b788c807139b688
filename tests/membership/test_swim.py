"""The view in virtual time, under joins, crashes, cuts, stops, losses and namesakes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.membership import swim
from burlmoor.membership.codec import InvalidDatagramError, Message, MessageKind, decode, encode
from burlmoor.membership.member import MemberState, MemberStatus
from burlmoor.membership.swim import Membership
from burlmoor.simulation.gossip import GossipSimulation

facts = st.builds(
    MemberState,
    name=st.text(min_size=1, max_size=16),
    address=st.tuples(st.ip_addresses(v=4).map(str), st.integers(0, 65535)),
    generation=st.integers(0, 2**32 - 1),
    nonce=st.integers(0, 65535),
    incarnation=st.integers(0, 65535),
    status=st.sampled_from(MemberStatus),
)


@given(st.sampled_from(MessageKind), st.integers(0, 2**32 - 1), st.lists(facts, min_size=1, max_size=30))
def test_a_datagram_reads_back_with_the_facts_that_found_room(
    kind: MessageKind, number: int, told: list[MemberState]
) -> None:
    data, count = encode(
        Message(kind, number, 7, tuple(told), "n5" if kind is MessageKind.PING_REQUEST else "")
    )
    assert len(data) <= 256 and count >= 1
    read = decode(data)
    assert (read.kind, read.number, read.members) == (kind, number, tuple(told[:count]))


@given(st.binary(max_size=300), st.integers(0, 255), st.integers(0, 255))
def test_whatever_comes_is_a_message_or_a_bad_datagram(noise: bytes, at: int, to: int) -> None:
    good, _ = encode(
        Message(MessageKind.PING, 1, 2, (MemberState("n1", ("127.0.0.1", 9), 1, 2, 3, MemberStatus.ALIVE),))
    )
    at %= len(good)
    changed = good[:at] + bytes([to]) + good[at + 1 :]
    for data in (noise, good[:at], good + noise[:3], changed):
        try:
            assert decode(data).members or data == good
        except InvalidDatagramError:
            continue


@pytest.mark.parametrize("nodes", [3, 30, 100])
def test_all_see_all_soon_after_a_start_and_again_after_a_third_died(nodes: int) -> None:
    town = GossipSimulation(nodes, 1)
    assert town.until_agreed(10.0) <= 10.0
    town.run(town.now + 5.0)
    town.kill(list(town.up)[: max(1, nodes // 3)])
    assert town.until_agreed(10.0) <= 10.0
    assert all(node.view(town.now).has_majority for node in town.up.values())
    town.run(town.now + 5.0)
    assert len({node.digest() for node in town.up.values()}) == 1  # nothing is left to tell


def test_nodes_that_know_one_address_find_all() -> None:
    town = GossipSimulation(40, 2, knowing=1)
    assert town.until_agreed(20.0) <= 20.0


@pytest.mark.parametrize(("loss", "alarms"), [(0.02, 0), (0.2, 2)])
def test_nobody_who_lives_is_declared_dead_though_datagrams_are_lost(loss: float, alarms: int) -> None:
    town = GossipSimulation(20, 3, loss=loss)
    town.until_agreed(20.0)
    town.run(town.now + 60.0)
    assert len({accused for _, _, accused in town.alarms}) <= alarms
    assert town.until_agreed(10.0) <= 10.0


def test_two_halves_agree_again_after_a_cut_that_outlasted_all_suspicion() -> None:
    town = GossipSimulation(30, 4)
    town.until_agreed(10.0)
    town.cut = lambda a, b: (int(a[1:]) < 10) != (int(b[1:]) < 10)
    town.run(town.now + 40.0)
    small, large = town.up["n0"].view(town.now), town.up["n20"].view(town.now)
    assert (len(small.member_names), small.has_majority) == (10, False)
    assert (len(large.member_names), large.has_majority) == (20, True)
    town.cut = lambda _a, _b: False
    assert town.until_agreed(20.0) <= 20.0


def test_a_bridge_that_hears_both_halves_keeps_them_together() -> None:
    town = GossipSimulation(20, 5)
    town.until_agreed(10.0)
    town.cut = lambda a, b: "n0" not in (a, b) and (int(a[1:]) < 10) != (int(b[1:]) < 10)
    town.run(town.now + 30.0)
    town.cut = lambda _a, _b: False
    assert town.until_agreed(20.0) <= 20.0


def test_a_node_that_was_stopped_accuses_nobody_and_knows_that_it_may_be_out_of_date() -> None:
    town = GossipSimulation(30, 6)
    town.until_agreed(10.0)
    town.stop("n3", 30.0)
    town.run(town.now + 29.0)
    assert town.seen() == {tuple(sorted(set(town.up) - {"n3"})), tuple(sorted(town.up))}
    node = town.up["n3"]
    town.run(town.now + 0.99)
    town.send("n3", node.step(town.now))
    assert not node.view(town.now).is_current
    town.run(town.now + 0.02)
    before = len([each for each in town.alarms if each[1] == "n3"])
    assert town.until_agreed(10.0) <= 10.0
    assert len([each for each in town.alarms if each[1] == "n3"]) == before
    town.run(town.now + 1.0)
    assert node.view(town.now).is_current


def test_a_tenth_stopped_for_three_seconds_brings_hardly_a_false_alarm() -> None:
    town = GossipSimulation(50, 7)
    town.until_agreed(10.0)
    for name in ("n1", "n11", "n21", "n31", "n41"):
        town.stop(name, 3.0)
    town.run(town.now + 20.0)
    assert len({accused for _, _, accused in town.alarms}) <= 1
    assert town.agreed()


@pytest.mark.parametrize("life", [500, 100, 3])
def test_a_restart_is_a_new_life_whatever_its_clock_says(life: int) -> None:
    town = GossipSimulation(20, 8)
    town.until_agreed(10.0)
    old = town.up["n4"].me
    town.kill(["n4"])
    town.run(town.now + 0.3)  # quicker than any suspicion
    town.start("n4", life)
    town.run(town.now + 10.0)
    now = town.up["n4"].me
    assert now.precedence[:2] > old.precedence[:2]
    assert {node.view(town.now).members["n4"].precedence for node in town.up.values()} == {now.precedence}
    assert not town.up["n4"].contested


@pytest.mark.parametrize(
    ("heard", "sizes"),
    [
        (lambda a, b: a == "n3", {11, 19}),
        (lambda a, b: int(a[1:]) < 8 <= int(b[1:]), {8, 12}),
    ],
    ids=["one is heard by none", "half is not heard by the other"],
)
def test_a_cut_in_one_direction_harms_only_who_is_cut_and_heals(heard, sizes: set[int]) -> None:  # type: ignore[no-untyped-def]
    town = GossipSimulation(20, 3)
    town.until_agreed(10.0)
    town.cut = heard
    town.run(town.now + 30.0)
    found = {len(node.view(town.now).member_names) for name, node in town.up.items() if name != "n3"}
    assert found <= sizes
    assert not (town.up["n3"].view(town.now).has_majority and heard("n3", "n9"))
    town.cut = lambda _a, _b: False
    assert town.until_agreed(20.0) <= 20.0


def test_datagrams_half_a_second_late_and_a_node_that_flaps_are_borne() -> None:
    town = GossipSimulation(20, 1, late=0.5)
    assert town.until_agreed(10.0) <= 10.0
    for _ in range(8):
        town.kill(["n5"])
        town.run(town.now + 2.0)
        town.start("n5")
        town.run(town.now + 2.0)
    assert town.until_agreed(10.0) <= 10.0
    assert not town.up["n5"].contested
    assert {accused for _, _, accused in town.alarms} <= {"n5"}


def test_who_leaves_is_never_suspected_nor_brought_back() -> None:
    town = GossipSimulation(20, 9)
    town.until_agreed(10.0)
    town.send("n4", town.up["n4"].leave())
    town.kill(["n4"])
    assert town.until_agreed(3.0) <= 3.0
    town.run(town.now + 20.0)
    assert town.alarms == []
    assert {node.view(town.now).members["n4"].status for node in town.up.values()} == {MemberStatus.LEFT}


def test_two_nodes_of_one_name_notice_and_do_not_thrash_the_fleet() -> None:
    town = GossipSimulation(10, 10)
    town.until_agreed(10.0)
    twin = Membership("n4", ("127.0.9.9", 9000), town.peers, 200, town.rng)
    town.peers["twin"] = ("127.0.9.9", 9000)
    town._at["127.0.9.9", 9000] = "twin"
    town.up["twin"] = twin
    town.at(town.now, lambda: town._step("twin", twin))
    town.run(town.now + 40.0)
    assert twin.contested or town.up["n4"].contested
    version = town.up["n0"].view(town.now).version
    town.run(town.now + 10.0)
    assert town.up["n0"].view(town.now).version - version < 30


def test_the_dead_are_forgotten_in_time_and_what_floods_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(swim, "MOST", 50)
    node = Membership("n0", ("127.0.0.1", 1), {}, 1, GossipSimulation(1, 1).rng)
    for number in range(200):
        fact = MemberState(f"x{number}", ("127.0.0.2", 1), 1, 1, 0, MemberStatus.DEAD)
        node.on_message(Message(MessageKind.GOSSIP, 0, 0, (fact,)), fact.address, 1.0)
    assert len(node.view(1.0).members) == 51
    now = 1.0
    while now < 125.0:
        now += 0.5
        node.step(now)
    assert list(node.view(now).members) == ["n0"]


def test_bytes_of_a_node_at_rest_do_not_grow_with_the_fleet() -> None:
    rates = []
    for nodes in (30, 100):
        town = GossipSimulation(nodes, 11)
        town.until_agreed(10.0)
        town.run(town.now + 10.0)
        town.bytes, began = 0, town.now
        town.run(town.now + 20.0)
        rates.append(town.bytes / nodes / (town.now - began))
    assert max(rates) < 1.5 * min(rates)
    assert max(rates) < 400.0


def no_refutation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_about_me", lambda *_: None)


def no_life(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        MemberState, "precedence", property(lambda self: (0, 0, self.incarnation, self.status))
    )


def never_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_patience", lambda *_: 60.0)


@pytest.mark.parametrize(
    ("fault", "story"),
    [
        (no_refutation, test_two_halves_agree_again_after_a_cut_that_outlasted_all_suspicion),
        (no_refutation, lambda: test_a_restart_is_a_new_life_whatever_its_clock_says(3)),
        (no_life, lambda: test_a_restart_is_a_new_life_whatever_its_clock_says(500)),
        (never_over, lambda: test_all_see_all_soon_after_a_start_and_again_after_a_third_died(3)),
    ],
)
def test_a_fault_in_the_state_machine_is_noticed(fault, story, monkeypatch: pytest.MonkeyPatch) -> None:  # type: ignore[no-untyped-def]
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        story()
