"""Decisions of the network emulation, without sockets."""

from __future__ import annotations

import pytest

from cressrail.testbed.network_emulation import DISCOVERY, NetworkEmulator, NetworkRule


@pytest.mark.parametrize(
    ("rule", "expected_arrivals"),
    [
        pytest.param(NetworkRule(loss=1.0), [0], id="cut between all"),
        pytest.param(NetworkRule(frozenset("a"), frozenset("b"), loss=1.0), [0], id="this direction cut"),
        pytest.param(NetworkRule(frozenset("b"), frozenset("a"), loss=1.0), [1], id="other direction cut"),
        pytest.param(NetworkRule(receivers=frozenset("c"), loss=1.0), [1], id="another receiver cut off"),
        pytest.param(NetworkRule(loss=0.5), [0, 1], id="half lost"),
        pytest.param(NetworkRule(duplication=1.0), [2], id="duplicated"),
        pytest.param(NetworkRule(datagrams_per_s=1.0), [0, 1], id="limited rate"),
    ],
)
def test_rule_applies_to_the_ordered_pairs_that_it_names(
    rule: NetworkRule, expected_arrivals: list[int]
) -> None:
    network = NetworkEmulator(1, [rule])

    outcomes = [network.decide("a", "b", index / 10) for index in range(100)]

    assert sorted({len(outcome.delays_s) for outcome in outcomes}) == expected_arrivals


@pytest.mark.parametrize(
    ("rule", "expected_names"),
    [
        pytest.param(NetworkRule(frozenset("a"), frozenset("b"), 1.0), "ab", id="both sides named"),
        pytest.param(NetworkRule(frozenset("a"), frozenset("b"), 0.9), "", id="loss without cut"),
        pytest.param(NetworkRule(frozenset(), frozenset("b"), 1.0), "abc", id="from all"),
    ],
)
def test_cut_off_sidecars_are_those_on_either_side_of_a_cut(rule: NetworkRule, expected_names: str) -> None:
    assert "".join(name for name in "abc" if rule.cuts_off(name)) == expected_names


@pytest.mark.parametrize(
    ("rule", "to_discovery", "from_discovery", "between_sidecars"),
    [
        pytest.param(NetworkRule(), False, False, True, id="no names"),
        pytest.param(
            NetworkRule(frozenset("a"), frozenset([DISCOVERY])), True, False, False, id="to discovery"
        ),
        pytest.param(NetworkRule(frozenset([DISCOVERY])), False, True, False, id="from discovery"),
        pytest.param(NetworkRule(frozenset("b")), False, False, False, id="from another sidecar"),
    ],
)
def test_rule_applies_to_discovery_only_where_it_is_named(
    rule: NetworkRule, to_discovery: bool, from_discovery: bool, between_sidecars: bool
) -> None:
    assert rule.applies_to("a", DISCOVERY) is to_discovery
    assert rule.applies_to(DISCOVERY, "a") is from_discovery
    assert rule.applies_to("a", "b") is between_sidecars


def test_delays_of_several_rules_add_up() -> None:
    network = NetworkEmulator(
        1, [NetworkRule(delay_s=0.1, jitter_s=0.1), NetworkRule(delay_s=0.2, corruption=1.0)]
    )

    outcomes = [network.decide("a", "b", 0.0) for _ in range(50)]

    assert all(0.3 <= outcome.delays_s[0] <= 0.4 for outcome in outcomes)
    assert all(outcome.is_corrupted for outcome in outcomes)


def test_corruption_flips_one_bit() -> None:
    network = NetworkEmulator(1)

    assert sum(byte.bit_count() for byte in network.flip_bit(bytes(100))) == 1
    assert network.flip_bit(b"") == b""


def test_first_datagram_of_a_rate_limited_pair_passes() -> None:
    arrivals = [
        NetworkEmulator(1, [NetworkRule(datagrams_per_s=10.0)]).decide("a", "b", 0.0).delays_s
        for _ in range(3)
    ]

    assert sum(len(delays_s) for delays_s in arrivals) == 3


def test_rate_limit_is_in_datagrams_per_second() -> None:
    network = NetworkEmulator(1, [NetworkRule(datagrams_per_s=10.0)])

    arrivals = [network.decide("a", "b", index / 100).delays_s for index in range(1000)]

    assert sum(len(delays_s) for delays_s in arrivals) == pytest.approx(100, abs=2)
