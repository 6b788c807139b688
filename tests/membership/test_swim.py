"""The protocol in virtual time: joins, crashes, partitions, suspensions, lost datagrams, duplicate names."""

from collections.abc import Callable

import pytest

from burlmoor.membership import member_table
from burlmoor.membership.codec import Message, MessageKind
from burlmoor.membership.member import MemberState, MemberStatus
from burlmoor.membership.member_table import MemberTable
from burlmoor.membership.suspicion import SuspicionTimers
from burlmoor.membership.swim import Membership
from burlmoor.simulation.gossip import GossipSimulation


@pytest.mark.parametrize("nodes", [3, 30, 100])
def test_views_converge_after_start_and_after_crashes(nodes: int) -> None:
    simulation = GossipSimulation(nodes, 1)
    assert simulation.run_until_converged(10.0) <= 10.0
    simulation.run(simulation.now + 5.0)
    simulation.crash(list(simulation.running)[: max(1, nodes // 3)])
    assert simulation.run_until_converged(10.0) <= 10.0
    assert all(node.view(simulation.now).has_majority for node in simulation.running.values())
    simulation.run(simulation.now + 5.0)
    assert len({node.digest() for node in simulation.running.values()}) == 1  # nothing is left to gossip


def test_nodes_configured_with_one_address_discover_the_others() -> None:
    simulation = GossipSimulation(40, 2, known_count=1)
    assert simulation.run_until_converged(20.0) <= 20.0


@pytest.mark.parametrize(("loss", "max_false_declarations"), [(0.02, 0), (0.2, 2)])
def test_datagram_loss_causes_few_false_death_declarations(loss: float, max_false_declarations: int) -> None:
    simulation = GossipSimulation(20, 3, loss=loss)
    simulation.run_until_converged(20.0)
    simulation.run(simulation.now + 60.0)
    assert len({declared for _, _, declared in simulation.death_declarations}) <= max_false_declarations
    assert simulation.run_until_converged(10.0) <= 10.0


def test_views_converge_after_a_long_partition() -> None:
    simulation = GossipSimulation(30, 4)
    simulation.run_until_converged(10.0)
    simulation.is_cut = lambda sender, recipient: (int(sender[1:]) < 10) != (int(recipient[1:]) < 10)
    simulation.run(simulation.now + 40.0)
    minority_view = simulation.running["n0"].view(simulation.now)
    majority_view = simulation.running["n20"].view(simulation.now)
    assert (len(minority_view.member_names), minority_view.has_majority) == (10, False)
    assert (len(majority_view.member_names), majority_view.has_majority) == (20, True)
    simulation.is_cut = lambda _sender, _recipient: False
    assert simulation.run_until_converged(20.0) <= 20.0


def test_views_converge_after_a_bridged_partition() -> None:
    simulation = GossipSimulation(20, 5)
    simulation.run_until_converged(10.0)
    simulation.is_cut = lambda sender, recipient: (
        "n0" not in (sender, recipient) and (int(sender[1:]) < 10) != (int(recipient[1:]) < 10)
    )
    simulation.run(simulation.now + 30.0)
    simulation.is_cut = lambda _sender, _recipient: False
    assert simulation.run_until_converged(20.0) <= 20.0


def test_resumed_node_declares_no_deaths_and_reports_an_outdated_view() -> None:
    simulation = GossipSimulation(30, 6)
    simulation.run_until_converged(10.0)
    simulation.suspend("n3", 30.0)
    simulation.run(simulation.now + 29.0)
    assert simulation.believed_members() == {
        tuple(sorted(set(simulation.running) - {"n3"})),
        tuple(sorted(simulation.running)),
    }
    node = simulation.running["n3"]
    simulation.run(simulation.now + 0.99)
    simulation.transmit("n3", node.step(simulation.now))
    assert not node.view(simulation.now).is_current
    simulation.run(simulation.now + 0.02)
    declarations_before = len(
        [declarer for _, declarer, _ in simulation.death_declarations if declarer == "n3"]
    )
    assert simulation.run_until_converged(10.0) <= 10.0
    declarations_after = len(
        [declarer for _, declarer, _ in simulation.death_declarations if declarer == "n3"]
    )
    assert declarations_after == declarations_before
    simulation.run(simulation.now + 1.0)
    assert node.view(simulation.now).is_current


def test_short_suspensions_cause_at_most_one_false_death_declaration() -> None:
    simulation = GossipSimulation(50, 7)
    simulation.run_until_converged(10.0)
    for name in ("n1", "n11", "n21", "n31", "n41"):
        simulation.suspend(name, 3.0)
    simulation.run(simulation.now + 20.0)
    assert len({declared for _, _, declared in simulation.death_declarations}) <= 1
    assert simulation.has_converged()


@pytest.mark.parametrize("generation", [500, 100, 3])
def test_restarted_node_takes_precedence_with_any_generation(generation: int) -> None:
    simulation = GossipSimulation(20, 8)
    simulation.run_until_converged(10.0)
    before = simulation.running["n4"].local
    simulation.crash(["n4"])
    simulation.run(simulation.now + 0.3)  # before any suspicion times out
    simulation.start("n4", generation)
    simulation.run(simulation.now + 10.0)
    after = simulation.running["n4"].local
    assert after.process_id > before.process_id
    views = [node.view(simulation.now) for node in simulation.running.values()]
    assert {view.states["n4"].precedence for view in views} == {after.precedence}
    assert not simulation.running["n4"].is_name_contested


@pytest.mark.parametrize(
    ("is_cut", "allowed_member_counts"),
    [
        (lambda sender, recipient: sender == "n3", {11, 19}),
        (lambda sender, recipient: int(sender[1:]) < 8 <= int(recipient[1:]), {8, 12}),
    ],
    ids=["no node receives from n3", "one group does not receive from the other"],
)
def test_one_way_partition_affects_only_isolated_nodes_and_heals(
    is_cut: Callable[[str, str], bool], allowed_member_counts: set[int]
) -> None:
    simulation = GossipSimulation(20, 3)
    simulation.run_until_converged(10.0)
    simulation.is_cut = is_cut
    simulation.run(simulation.now + 30.0)
    others = [node for name, node in simulation.running.items() if name != "n3"]
    assert {len(node.view(simulation.now).member_names) for node in others} <= allowed_member_counts
    assert not (simulation.running["n3"].view(simulation.now).has_majority and is_cut("n3", "n9"))
    simulation.is_cut = lambda _sender, _recipient: False
    assert simulation.run_until_converged(20.0) <= 20.0


def test_delays_and_flapping_cause_no_false_death_declarations() -> None:
    simulation = GossipSimulation(20, 1, max_delay=0.5)
    assert simulation.run_until_converged(10.0) <= 10.0
    for _ in range(8):
        simulation.crash(["n5"])
        simulation.run(simulation.now + 2.0)
        simulation.start("n5")
        simulation.run(simulation.now + 2.0)
    assert simulation.run_until_converged(10.0) <= 10.0
    assert not simulation.running["n5"].is_name_contested
    assert {declared for _, _, declared in simulation.death_declarations} <= {"n5"}


def test_node_that_left_is_neither_suspected_nor_revived() -> None:
    simulation = GossipSimulation(20, 9)
    simulation.run_until_converged(10.0)
    simulation.transmit("n4", simulation.running["n4"].leave())
    simulation.crash(["n4"])
    assert simulation.run_until_converged(3.0) <= 3.0
    simulation.run(simulation.now + 20.0)
    assert simulation.death_declarations == []
    views = [node.view(simulation.now) for node in simulation.running.values()]
    assert {view.states["n4"].status for view in views} == {MemberStatus.LEFT}


def test_duplicate_name_is_detected_and_stops_causing_updates() -> None:
    simulation = GossipSimulation(10, 10)
    simulation.run_until_converged(10.0)
    duplicate = Membership("n4", ("127.0.9.9", 9000), simulation.addresses, 200, simulation.rng)
    simulation.addresses["duplicate"] = ("127.0.9.9", 9000)
    simulation._names_by_address["127.0.9.9", 9000] = "duplicate"
    simulation.run_node("duplicate", duplicate, simulation.now)
    simulation.run(simulation.now + 40.0)
    assert duplicate.is_name_contested or simulation.running["n4"].is_name_contested
    version = simulation.running["n0"].view(simulation.now).version
    simulation.run(simulation.now + 10.0)
    assert simulation.running["n0"].view(simulation.now).version - version < 30


def test_member_table_is_bounded_and_dead_members_are_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(member_table, "MAX_MEMBERS", 50)
    node = Membership("n0", ("127.0.0.1", 1), {}, 1, GossipSimulation(1, 1).rng)
    for number in range(200):
        state = MemberState(f"x{number}", ("127.0.0.2", 1), 1, 1, 0, MemberStatus.DEAD)
        node.on_message(Message(MessageKind.GOSSIP, 0, 0, (state,)), state.address, 1.0)
    assert len(node.view(1.0).states) == 51
    now = 1.0
    while now < 125.0:
        now += 0.5
        node.step(now)
    assert list(node.view(now).states) == ["n0"]


def test_idle_traffic_per_node_is_independent_of_cluster_size() -> None:
    bytes_per_node_second = []
    for nodes in (30, 100):
        simulation = GossipSimulation(nodes, 11)
        simulation.run_until_converged(10.0)
        simulation.run(simulation.now + 10.0)
        simulation.sent_bytes = 0
        started_at = simulation.now
        simulation.run(simulation.now + 20.0)
        bytes_per_node_second.append(simulation.sent_bytes / nodes / (simulation.now - started_at))
    assert max(bytes_per_node_second) < 1.5 * min(bytes_per_node_second)
    assert max(bytes_per_node_second) < 400.0


def without_refutation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemberTable, "_merge_local", lambda *_: None)


def without_generations(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        MemberState, "precedence", property(lambda self: (0, 0, self.incarnation, self.status))
    )


def without_suspicion_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SuspicionTimers, "_timeout", lambda *_: 60.0)


@pytest.mark.parametrize(
    ("mutate", "failing_test"),
    [
        (without_refutation, test_views_converge_after_a_long_partition),
        (
            without_refutation,
            lambda: test_restarted_node_takes_precedence_with_any_generation(3),
        ),
        (
            without_generations,
            lambda: test_restarted_node_takes_precedence_with_any_generation(500),
        ),
        (
            without_suspicion_timeout,
            lambda: test_views_converge_after_start_and_after_crashes(3),
        ),
    ],
)
def test_mutations_of_the_protocol_fail_other_tests(
    mutate: Callable[[pytest.MonkeyPatch], None],
    failing_test: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        failing_test()
