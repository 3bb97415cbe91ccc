//! One target, as its agent announced it.

use std::net::SocketAddrV4;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;

use super::Settings;
use super::targets::Request;
use crate::message::{Announcement, Load, Reason, ServiceTag, Standing, Tag};

/// A target as its agent announced it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address of its agent.
    pub(crate) agent: SocketAddrV4,
    /// Its short name.
    pub(crate) tag: Tag,
    /// Short name of its service.
    pub(crate) service: ServiceTag,
    /// Name of its service.
    pub(super) name: String,
    /// Failure domain that it lives in.
    pub(crate) domain: String,
    /// Its state.
    pub(crate) standing: Standing,
    /// When its agent was last heard.
    pub(crate) heard: Instant,
    pub(super) load: Load,
    pub(super) run: u64,
    pub(super) count: u64,
    /// Whether its agent hears this balancer.
    pub(super) hears: bool,
    /// Whether it was heard here, and not only by another balancer.
    pub(super) heard_here: bool,
    /// The first opener that is still unanswered.
    unanswered: Option<Instant>,
    /// Set once openers stayed unanswered; unset by any sign of life.
    pub(super) silent: bool,
    /// Until when it is taken to have no free slot.
    pub(super) busy: Instant,
    /// Until when it is taken to refuse flows even if they queue.
    pub(super) full: Instant,
    /// Work sent there that no report covers yet, as of `sent_at`.
    sent: f32,
    sent_at: Instant,
}

impl Target {
    pub(super) fn new(agent: SocketAddrV4, announcement: &Announcement, now: Instant) -> Self {
        Self {
            agent,
            tag: Tag::new(agent),
            service: ServiceTag::new(&announcement.service),
            name: announcement.service.clone(),
            domain: announcement.domain.clone(),
            standing: announcement.standing,
            heard: now,
            load: announcement.load,
            run: announcement.run,
            count: announcement.count,
            hears: announcement.hears,
            heard_here: true,
            unanswered: None,
            silent: false,
            busy: Instant::default(),
            full: Instant::default(),
            sent: 0.0,
            sent_at: now,
        }
    }

    pub(super) fn announcement(&self) -> Announcement {
        Announcement {
            run: self.run,
            count: self.count,
            service: self.name.clone(),
            domain: self.domain.clone(),
            standing: self.standing,
            load: self.load,
            hears: false,
            asks: false,
        }
    }

    /// Name of its service.
    pub(crate) fn service_name(&self) -> &str {
        &self.name
    }

    /// Whether only other balancers have heard it.
    pub(crate) fn is_unheard(&self) -> bool {
        !self.heard_here
    }

    /// Takes a report of its load, which is also a sign of life.
    pub(crate) fn reported(&mut self, load: Load, now: Instant) {
        self.load = load;
        self.sent = 0.0;
        self.answered(now);
    }

    /// Notes that it refused an opener.
    pub(crate) fn refused(
        &mut self,
        reason: Reason,
        queues: bool,
        settings: &Settings,
        now: Instant,
    ) {
        match reason {
            Reason::Busy if !queues => self.busy = now + settings.busy,
            Reason::Busy | Reason::Cold | Reason::Full | Reason::Shed => {
                self.full = now + settings.full;
            }
            _ => {}
        }
    }

    /// Notes a sign of life.
    pub(crate) fn answered(&mut self, now: Instant) {
        self.heard = now;
        self.unanswered = None;
        self.silent = false;
    }

    /// Notes an opener sent there.
    pub(crate) fn opened(&mut self, settings: &Settings, now: Instant) {
        self.sent = self.pending(settings, now) + 1.0;
        self.sent_at = now;
        self.unanswered.get_or_insert(now);
    }

    /// Notes that a caller repeated an opener that went there; returns whether the target has
    /// left openers unanswered for too long.
    pub(crate) fn repeated(&mut self, settings: &Settings, now: Instant) -> bool {
        let waited = self.unanswered.map(|since| now.since(since));
        if waited.is_some_and(|waited| waited >= settings.silence) {
            self.silent = true;
        }
        self.silent
    }

    /// Whether it may not answer.
    pub(crate) fn is_doubtful(&self, settings: &Settings, now: Instant) -> bool {
        self.silent || !self.hears || now.since(self.heard) >= settings.stale
    }

    /// Whether flows can be served there now.
    pub(crate) fn serves(&self, settings: &Settings, now: Instant) -> bool {
        self.standing == Standing::Ready && self.hears && now.since(self.heard) < settings.isolated
    }

    fn pending(&self, settings: &Settings, now: Instant) -> f32 {
        let passed = now.since(self.sent_at).as_secs_f32() / settings.estimate.as_secs_f32();
        self.sent * (1.0 - passed).max(0.0)
    }

    /// Share of its slots in use, with a surcharge for what makes it a worse choice.
    pub(super) fn cost(&self, request: &Request<'_>, settings: &Settings, now: Instant) -> f32 {
        let slots = f32::from(self.load.slots.max(1));
        let busy = f32::from(self.load.busy).midpoint(f32::from(self.load.mean) / 100.0);
        let mut cost = (busy + self.pending(settings, now)) / slots;
        if self.load.cold.is_some() {
            cost += settings.cold;
        }
        if self.load.cold == Some(0) {
            cost += settings.cold;
        }
        if self.domain != request.domain {
            cost += settings.crossing;
        }
        // The highest rank is best, as it is for the search.
        let rank = score(request.flow.word(), u64::from(self.tag.0)) >> 40;
        cost + settings.spread * (1.0 - rank as f32 / (1u32 << 24) as f32)
    }
}
