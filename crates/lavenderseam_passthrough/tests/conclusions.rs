//! Conclusions of a balancer that no target holds a flow. Each test makes one premise of such a
//! conclusion false while the flow is open at a target, so that a reset would break it.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use fixture::{BALANCER, SERVICE, at_ms, flow, request};
use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_passthrough::balancer::{
    Action, Balancer, DiscardReason, Identity, Resolution, SearchAction, Verdict,
};
use lavenderseam_passthrough::desired::{
    DesiredState, RegisteredAgent, Repeatability, Route, ServiceLimits, WeightedService,
};
use lavenderseam_passthrough::message::{
    Announcement, FlowDenial, INCOMPLETE_TARGETS, Load, LocationQuery, LocationReply, Reason,
    RecordVersions, ReturnHeader, TargetSnapshot, TargetState, TargetsQuery, TargetsReply,
};

const PORT: u16 = 1;

fn agent(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, index), 7_000)
}

fn peer() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 2), 7_000)
}

/// Another balancer than [`peer`].
fn other_peer() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 3), 7_000)
}

fn registered(agents: &[u8]) -> Vec<RegisteredAgent> {
    let registration = |index: &u8| RegisteredAgent {
        address: agent(*index),
        is_silent: false,
    };
    agents.iter().map(registration).collect()
}

/// A balancer that has just started, with one peer and the registrations of some agents.
struct Fixture {
    balancer: Balancer,
    sequence: u64,
}

impl Fixture {
    fn new(agents: &[u8]) -> Self {
        let mut balancer = Balancer::new(Identity {
            domain: "a".to_owned(),
            address: BALANCER,
            rpc_address: BALANCER,
        });
        let route = Route {
            address: flow(PORT).service,
            services: vec![WeightedService {
                service: SERVICE.to_owned(),
                weight: 1,
            }],
            repeatability: Repeatability::AtMostOnce,
        };
        balancer.set_desired_state(DesiredState {
            revision: Revision(1),
            version: 1,
            services: BTreeMap::from([(SERVICE.to_owned(), ServiceLimits::default())]),
            routes: vec![route],
            ..DesiredState::default()
        });
        balancer.add_peer(peer(), at_ms(0));
        balancer.tick(at_ms(0));
        balancer.set_registered_agents(&registered(agents));
        Self {
            balancer,
            sequence: 0,
        }
    }

    fn announcement(&mut self, state: TargetState) -> Announcement {
        self.sequence += 1;
        Announcement {
            run: 1,
            sequence: self.sequence,
            service: SERVICE.to_owned(),
            domain: "a".to_owned(),
            state,
            load: Load {
                slots: 2,
                ..Load::default()
            },
            hears_recipient: true,
            wants_balancers: false,
        }
    }

    fn announce(&mut self, index: u8, state: TargetState, ms: u64) {
        let announcement = self.announcement(state);
        self.balancer
            .on_announcement(&announcement, agent(index), at_ms(ms));
    }

    /// Returns the gossip that the balancer sends at a tick.
    fn own_gossip(&mut self, ms: u64) -> RecordVersions {
        let actions = self.balancer.tick(at_ms(ms)).into_iter();
        let mut gossip = actions.filter_map(|action| match action {
            Action::Gossip { gossip, .. } => Some(gossip),
            _ => None,
        });
        gossip.next_back().unwrap()
    }

    /// Handles gossip of the peer, which holds the same records as the balancer.
    fn hear_agreement(&mut self, ms: u64) {
        let gossip = RecordVersions {
            rpc_address: Some(peer()),
            ..self.own_gossip(ms)
        };
        self.balancer.on_gossip(&gossip, peer(), at_ms(ms));
    }

    /// Handles gossip of a balancer that has just started.
    fn hear_from_starting(&mut self, from: SocketAddrV4, ms: u64) {
        let gossip = RecordVersions {
            desired_revision: Revision(1),
            targets_digest: INCOMPLETE_TARGETS,
            ..RecordVersions::default()
        };
        self.balancer.on_gossip(&gossip, from, at_ms(ms));
    }

    /// Lets time pass, while agent 1 and the peer are heard.
    fn pass_time(&mut self, from_ms: u64, to_ms: u64) {
        for ms in (from_ms..=to_ms).step_by(500) {
            self.announce(1, TargetState::Ready, ms);
            self.hear_agreement(ms);
            self.balancer.poll_searches(at_ms(ms));
        }
    }

    /// Returns the answer of a balancer that knows the same targets.
    fn same_targets(&mut self, query: TargetsQuery, ms: u64) -> TargetsReply {
        let own = self.balancer.on_targets_query(query, peer(), at_ms(ms));
        TargetsReply {
            is_complete: true,
            ..own
        }
    }

    /// Answers the questions among `actions` for balancers that know the same targets.
    fn agree(&mut self, actions: &[SearchAction], ms: u64) -> Vec<SearchAction> {
        let mut further = Vec::new();
        for (balancer, query) in questions(actions) {
            let reply = self.same_targets(query, ms);
            let actions = self.balancer.on_targets_reply(&reply, balancer, at_ms(ms));
            further.extend(actions);
        }
        further
    }

    /// Searches for the flow, which agent 1 denies, the only known one; returns what follows.
    fn search_in_vain(&mut self, ms: u64) -> Vec<SearchAction> {
        let query = self.search(ms);
        self.deny_query(1, &query, ms + 7)
    }

    /// Handles a packet of the flow.
    fn send(&mut self, ms: u64) -> Verdict {
        self.balancer.on_caller_packet(&request(PORT, 1), at_ms(ms))
    }

    /// Returns a forwarded packet to the balancer, from an agent that denies its flow.
    fn deny(&mut self, index: u8, forwarded: &Verdict, ms: u64) -> Verdict {
        let Verdict::Forward { header, .. } = forwarded.clone() else {
            panic!("not forwarded: {forwarded:?}");
        };
        let returned = ReturnHeader {
            reason: Reason::NotHeld,
            load: Load::default(),
            header,
        };
        self.balancer
            .on_returned_packet(&request(PORT, 1), returned, agent(index), at_ms(ms))
    }

    /// Sends a packet of the flow that agents 1 and 2 deny, in the order in which they get it.
    fn deny_by_both(&mut self, ms: u64) -> Verdict {
        let first = self.send(ms);
        let order = if is_forwarded_to(&first, 1) {
            [1, 2]
        } else {
            [2, 1]
        };
        let second = self.deny(order[0], &first, ms + 1);
        self.deny(order[1], &second, ms + 2)
    }

    /// Answers a query for an agent that doesn't hold the flow.
    fn deny_query(&mut self, index: u8, query: &LocationQuery, ms: u64) -> Vec<SearchAction> {
        let reply = LocationReply {
            number: query.number,
            ..LocationReply::default()
        };
        self.balancer
            .on_location_reply(&reply, agent(index), at_ms(ms))
    }

    /// Returns the queries that are due, with the agents that they are sent to.
    fn queries(&mut self, ms: u64) -> Vec<(SocketAddrV4, LocationQuery)> {
        let actions = self.balancer.poll_searches(at_ms(ms)).into_iter();
        actions
            .filter_map(|action| match action {
                SearchAction::Query { agent, query } => Some((agent, query)),
                _ => None,
            })
            .collect()
    }

    /// Sends a packet of the flow that agent 1 denies, and returns the query that follows.
    fn search(&mut self, ms: u64) -> LocationQuery {
        let verdict = self.send(ms);
        expect_that!(is_forwarded_to(&verdict, 1), eq(true));
        expect_that!(self.deny(1, &verdict, ms + 1), eq(&Verdict::Hold));
        let queries = self.queries(ms + 5);
        queries.into_iter().next().unwrap().1
    }
}

fn is_forwarded_to(verdict: &Verdict, index: u8) -> bool {
    matches!(verdict, Verdict::Forward { agent: to, .. } if *to == agent(index))
}

/// Returns the questions to other balancers among some actions.
fn questions(actions: &[SearchAction]) -> Vec<(SocketAddrV4, TargetsQuery)> {
    let questions = actions.iter().filter_map(|action| match action {
        SearchAction::AskBalancer { balancer, query } => Some((*balancer, *query)),
        _ => None,
    });
    questions.collect()
}

fn resets(actions: &[SearchAction]) -> bool {
    let reset = Resolution::Reset(DiscardReason::Unowned);
    let is_reset = |action: &SearchAction| matches!(action, SearchAction::Resolve { resolution, .. } if *resolution == reset);
    actions.iter().any(is_reset)
}

/// All premises hold: every agent has denied the flow, all registered ones have been heard, and the
/// peer knows the same targets since.
#[gtest]
fn a_flow_that_all_targets_deny_is_reset() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.announce(2, TargetState::Ready, 20);
    fixture.hear_agreement(600);
    expect_that!(fixture.deny_by_both(700), eq(&Verdict::Hold));
    let query = fixture.queries(710).remove(0).1;
    let first = fixture.deny_query(1, &query, 711);
    expect_that!(resets(&first), eq(false));
    let last = fixture.deny_query(2, &query, 711);
    expect_that!(resets(&last), eq(false));
    expect_that!(resets(&fixture.agree(&last, 713)), eq(true));
}

/// A balancer that opened the flow knows its target. What another one says, which has heard of no more
/// targets than this one, doesn't count against it.
#[gtest]
fn a_flow_is_not_reset_while_one_balancer_knows_other_targets() {
    let mut fixture = Fixture::new(&[1]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.hear_agreement(530);
    fixture.hear_from_starting(other_peer(), 540);
    let asked = fixture.search_in_vain(600);
    let asked = questions(&asked);
    expect_that!(asked, len(eq(2)));
    let own = fixture.same_targets(asked[0].1, 610);
    let replies = [
        (peer(), own),
        (
            other_peer(),
            TargetsReply {
                digest: own.digest ^ 1,
                ..own
            },
        ),
    ];
    for (balancer, reply) in replies {
        let actions = fixture
            .balancer
            .on_targets_reply(&reply, balancer, at_ms(610));
        expect_that!(resets(&actions), eq(false));
    }
    for ms in (610..2_600).step_by(50) {
        let actions = fixture.balancer.poll_searches(at_ms(ms));
        expect_that!(resets(&actions), eq(false));
    }
}

/// A balancer that runs and doesn't answer may have opened the flow. Once it has been silent for so long
/// that it has failed, it isn't waited for any more.
#[gtest]
fn a_flow_is_not_reset_while_a_running_balancer_does_not_answer() {
    let mut fixture = Fixture::new(&[1]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.hear_from_starting(other_peer(), 500);
    fixture.hear_agreement(530);
    let search = |fixture: &mut Fixture, ms| {
        let asked = fixture.search_in_vain(ms);
        let silent: Vec<_> = asked
            .into_iter()
            .filter(|action| !matches!(action, SearchAction::AskBalancer { balancer, .. } if *balancer == other_peer()))
            .collect();
        resets(&fixture.agree(&silent, ms + 10))
    };
    expect_that!(search(&mut fixture, 600), eq(false));
    fixture.pass_time(1_030, 5_530);
    expect_that!(search(&mut fixture, 5_600), eq(true));
}

/// An answer that is under way while the agents are asked may have been sent before the flow was opened.
#[gtest]
fn an_answer_to_a_question_from_before_the_search_proves_nothing() {
    let mut fixture = Fixture::new(&[1]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.hear_agreement(530);
    let first = fixture.search_in_vain(600);
    // The packets of the first search have been given up by then.
    fixture.pass_time(1_030, 3_030);
    let second = fixture.search_in_vain(3_100);
    expect_that!(questions(&second), len(eq(1)));
    expect_that!(resets(&fixture.agree(&first, 3_110)), eq(false));
    expect_that!(resets(&fixture.agree(&second, 3_110)), eq(true));
}

/// Balancers that have just started, and haven't heard from a registered agent, agree with each other.
#[gtest]
fn agreement_of_balancers_that_may_not_know_all_targets_proves_nothing() {
    let mut fixture = Fixture::new(&[1]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.hear_from_starting(peer(), 530);
    let asked = fixture.search_in_vain(600);
    let (balancer, query) = questions(&asked)[0];
    let reply = TargetsReply {
        is_complete: false,
        ..fixture.same_targets(query, 610)
    };
    let actions = fixture
        .balancer
        .on_targets_reply(&reply, balancer, at_ms(610));
    expect_that!(resets(&actions), eq(false));
}

/// A lost question or answer delays the conclusion until the question is repeated.
#[gtest]
fn a_question_without_answer_is_repeated() {
    let mut fixture = Fixture::new(&[1]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.hear_agreement(530);
    let asked = questions(&fixture.search_in_vain(600));
    let due = fixture.balancer.next_search_at().unwrap();
    let actions = fixture.balancer.poll_searches(due);
    expect_that!(questions(&actions), eq(&asked));
    expect_that!(resets(&fixture.agree(&actions, 660)), eq(true));
}

/// Agent 3, which holds the flow, is heard after the query was answered and before the last visit is.
/// The denials until then don't cover it, although all registered agents have been heard by then.
#[gtest]
fn a_target_that_becomes_known_during_the_visits_is_asked() {
    let mut fixture = Fixture::new(&[1, 2, 3]);
    fixture.announce(1, TargetState::Ready, 20);
    let query = fixture.search(30);
    fixture.announce(2, TargetState::Ready, 36);
    fixture.deny_query(1, &query, 37);
    // Agent 2 has become known since the query was sent.
    let mut verdict = fixture.send(38);
    fixture.announce(3, TargetState::Ready, 39);
    fixture.hear_agreement(540);
    if let Verdict::Forward { .. } = &verdict {
        verdict = fixture.deny(2, &verdict, 541);
    }
    expect_that!(verdict, eq(&Verdict::Hold));
    let asked: Vec<_> = fixture
        .queries(600)
        .into_iter()
        .map(|query| query.0)
        .collect();
    expect_that!(asked, contains(eq(&agent(3))));
}

/// As above, while agent 1 verifies the flow at its backend server.
#[gtest]
fn a_target_that_becomes_known_during_a_verification_is_asked() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.announce(1, TargetState::Ready, 20);
    let query = fixture.search(30);
    let reply = LocationReply {
        number: query.number,
        unverified: vec![0],
        ..LocationReply::default()
    };
    fixture
        .balancer
        .on_location_reply(&reply, agent(1), at_ms(37));
    fixture.announce(2, TargetState::Ready, 38);
    fixture.hear_agreement(540);
    let denial = FlowDenial {
        flow: flow(PORT),
        has_ended: false,
        load: Load::default(),
    };
    let actions = fixture
        .balancer
        .on_flow_denied(&denial, agent(1), at_ms(541));
    expect_that!(resets(&actions), eq(false));
    let asked: Vec<_> = fixture
        .queries(600)
        .into_iter()
        .map(|query| query.0)
        .collect();
    expect_that!(asked, contains(eq(&agent(2))));
}

/// The peer agreed before agent 2 became known, so it may not know other targets that have started
/// since either.
#[gtest]
fn an_agreement_about_fewer_targets_proves_nothing() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.hear_agreement(530);
    fixture.announce(2, TargetState::Ready, 600);
    expect_that!(fixture.deny_by_both(700), eq(&Verdict::Hold));
    let query = fixture.queries(710).remove(0).1;
    fixture.deny_query(1, &query, 711);
    let asked = fixture.deny_query(2, &query, 711);
    expect_that!(resets(&asked), eq(false));
    // The peer knows agent 1 alone.
    let (balancer, query) = questions(&asked)[0];
    let own = fixture.same_targets(query, 712);
    let reply = TargetsReply {
        digest: own.digest ^ 1,
        ..own
    };
    let actions = fixture
        .balancer
        .on_targets_reply(&reply, balancer, at_ms(712));
    expect_that!(resets(&actions), eq(false));
    // The peer knows agent 2, too.
    let asked = fixture.balancer.poll_searches(at_ms(800));
    expect_that!(resets(&fixture.agree(&asked, 801)), eq(true));
}

/// The peer has just started as well, so its agreement doesn't show that other targets don't exist.
/// Agent 2, which holds the flow, restarts and is silent for longer than balancers wait.
#[gtest]
fn a_peer_that_has_just_started_proves_nothing() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.announce(1, TargetState::Ready, 20);
    let gossip = RecordVersions {
        targets_digest: INCOMPLETE_TARGETS,
        ..fixture.own_gossip(1_500)
    };
    fixture.announce(1, TargetState::Ready, 1_500);
    fixture.balancer.on_gossip(&gossip, peer(), at_ms(1_500));
    let query = fixture.search(1_600);
    expect_that!(resets(&fixture.deny_query(1, &query, 1_607)), eq(false));
}

/// Others can't rely on the targets that a balancer knows which has just started, until it has heard
/// all registered agents.
#[gtest]
fn a_balancer_that_has_just_started_names_no_targets() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.announce(1, TargetState::Ready, 20);
    let digest = |fixture: &mut Fixture, ms| fixture.own_gossip(ms).targets_digest;
    expect_that!(digest(&mut fixture, 500), eq(INCOMPLETE_TARGETS));
    // The gossip that names all targets isn't delayed.
    fixture.announce(2, TargetState::Ready, 550);
    expect_that!(digest(&mut fixture, 600), not(eq(INCOMPLETE_TARGETS)));
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.announce(1, TargetState::Ready, 20);
    expect_that!(digest(&mut fixture, 500), eq(INCOMPLETE_TARGETS));
    expect_that!(digest(&mut fixture, 1_300), not(eq(INCOMPLETE_TARGETS)));
}

/// A target that had no backend server, and is known to run again by the report of a peer, may hold
/// flows that were opened since.
#[gtest]
fn a_target_whose_backend_server_runs_again_is_asked() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.announce(2, TargetState::Ended, 20);
    fixture.announce(1, TargetState::Ready, 1_900);
    let query = fixture.search(2_000);
    let announcement = fixture.announcement(TargetState::Ready);
    let snapshot = TargetSnapshot {
        agent: agent(2),
        age_ms: 10,
        announcement,
    };
    fixture.balancer.merge_targets(&[snapshot], at_ms(2_006));
    fixture.hear_agreement(2_006);
    expect_that!(resets(&fixture.deny_query(1, &query, 2_007)), eq(false));
}

/// A target without a backend server holds nothing, so that hearing of one from a peer delays no
/// conclusion. Otherwise each exchange of records would start all searches again.
#[gtest]
fn a_target_without_a_backend_server_delays_no_conclusion() {
    let mut fixture = Fixture::new(&[1]);
    fixture.announce(1, TargetState::Ready, 20);
    fixture.hear_agreement(530);
    let query = fixture.search(600);
    let announcement = fixture.announcement(TargetState::Ended);
    let snapshot = TargetSnapshot {
        agent: agent(2),
        age_ms: 10,
        announcement,
    };
    fixture.balancer.merge_targets(&[snapshot], at_ms(606));
    let asked = fixture.deny_query(1, &query, 607);
    expect_that!(resets(&fixture.agree(&asked, 608)), eq(true));
}

/// Queries of an earlier run of the balancer may be answered late. The numbers of a run differ from
/// those of one that started at another time.
#[gtest]
fn answers_to_queries_of_an_earlier_run_are_ignored() {
    let mut earlier = Fixture::new(&[1]);
    earlier.announce(1, TargetState::Ready, 20);
    let earlier = earlier.search(30).number;
    let mut later = Fixture::new(&[1]);
    later.announce(1, TargetState::Ready, 4_020);
    expect_that!(later.search(4_030).number, not(eq(earlier)));
}

/// The mark of an agent as silent may be older than its return, if the balancer that reported it has
/// been replaced. A balancer that starts and hears the agent removes the mark.
#[gtest]
fn an_outdated_mark_of_a_silent_agent_is_removed() {
    let mut fixture = Fixture::new(&[1]);
    fixture.balancer.set_registered_agents(&[RegisteredAgent {
        address: agent(1),
        is_silent: true,
    }]);
    fixture.announce(1, TargetState::Ready, 100);
    let actions = fixture.balancer.tick(at_ms(200));
    let removal = Action::ReportSilence {
        agent: agent(1),
        is_silent: false,
    };
    expect_that!(actions, contains(eq(&removal)));
    let actions = fixture.balancer.tick(at_ms(300));
    expect_that!(actions, not(contains(eq(&removal))));
}
