/*
 * Conclusion of a balancer that no target holds a flow, while agent 1 holds the flow all the time.
 *
 * The balancer has just started. It hears of targets from their agents and from other balancers, asks those
 * that it knows, and resets the flow once all of them have denied it and it knows all targets. There are two
 * other balancers. One has just started, too, or has run for long. The other has opened the flow, and fails at any
 * time. Agent 1 restarts, and may be marked as silent although it runs. It may have registered after the balancers
 * have listed the registrations. Messages of agents may be lost or late; a balancer has heard from all agents that
 * run once it has run for the minimum uptime, but for one that has just started.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_OLD_DENIALS     denials count although another target has become known since the query
 *   MUTANT_OLD_AGREEMENT   an answer counts that another balancer gave before the search
 *   MUTANT_ONE_AGREEMENT   one balancer that knows the same targets is enough
 *   MUTANT_NEW_PEER        balancers agree before one of them knows all targets
 *   MUTANT_TRUSTED_MARK    a mark of silence replaces the agreement of other balancers
 *   MUTANT_NO_AGREEMENT    registrations replace the agreement of other balancers
 *   MUTANT_FALSE_DENIAL    an agent whose backend server was wrongly taken to have ended denies its flows
 * Premises about the surroundings, which the mutants drop:
 *   MUTANT_LONG_RESTART    an agent isn't down for the whole minimum uptime of both balancers
 *   MUTANT_UNREGISTERED    an agent that no other balancer has heard, or listed, holds no flows once the balancer that
 *                          opened them doesn't count as running any more
 *   MUTANT_STALE_MARK      an agent that runs isn't marked as silent while both balancers have just started
 */

#define NONE 0
#define FIRST 1      /* agent 0, as a bit */
#define HOLDER 2     /* agent 1, which holds the flow */
#define ALL 3

byte known = NONE;       /* targets that the balancer knows */
byte heard = NONE;       /* targets whose agents the balancer has heard itself */
byte registered;         /* registrations that both balancers have listed */
bool marked;             /* agent 1 is marked as silent */
byte uptime = 0;         /* 0: just started, 1: marks count, 2: minimum uptime */

byte peer_known = NONE;
byte peer_heard = NONE;
bool peer_is_settled;    /* the other balancer has run for the minimum uptime */
byte peer_named;         /* its answer */
bool peer_has_answered = false;
bool peer_vouched = false;  /* it took these targets for all that exist */

bool opener_is_up = true;
bool opener_counts = true;  /* the balancer that opened the flow is taken to be running */
byte opener_named;          /* its answer */
bool opener_has_answered = false;

bool holder_is_up = true;
bool holder_sees_all = true;
byte restarts = 0;
byte false_ends = 0;

bool asking = false;
byte asked;
byte denials;
bool undecided;
bool waiting = false;    /* all targets that were asked have denied the flow */
byte searches = 0;

#define COMPLETE ((registered & ~heard & ~(marked && uptime >= 1 -> HOLDER : NONE)) == NONE)
#define PEER_COMPLETE ((registered & ~peer_heard & ~(marked -> HOLDER : NONE)) == NONE)

/* All targets known now were asked, and not only those known when the query was sent; otherwise the flow
 * is asked about again. */
#ifdef MUTANT_OLD_DENIALS
#define COVERED true
#else
#define COVERED (asked == known)
#endif

#ifdef MUTANT_LONG_RESTART
#define HEARD_FROM_RUNNING true
#else
#define HEARD_FROM_RUNNING (peer_heard == ALL || (opener_counts && registered == FIRST))
#endif

#ifdef MUTANT_NEW_PEER
#define OFFERS_TARGETS true
#else
#define OFFERS_TARGETS (peer_is_settled || PEER_COMPLETE)
#endif

inline hears(target) {
    known = known | target;
    heard = heard | target
}

#ifdef MUTANT_ONE_AGREEMENT
#define OPENER_AGREES true
#else
#define OPENER_AGREES (!opener_counts || (opener_has_answered && opener_named == known))
#endif

#ifdef MUTANT_UNREGISTERED
#define HOLDER_IS_HEARD_OR_LISTED true
#else
#define HOLDER_IS_HEARD_OR_LISTED (registered == ALL || ((known | peer_known) & HOLDER))
#endif

inline start_search() {
    searches++;
#ifndef MUTANT_OLD_AGREEMENT
    peer_has_answered = false;
    opener_has_answered = false;
#endif
    asking = true;
    waiting = false;
    asked = known;
    denials = NONE;
    undecided = false
}

/* The last of the targets that were asked has answered. */
inline conclude() {
    asking = false;
    if
#ifdef MUTANT_NO_AGREEMENT
    :: COMPLETE -> assert(false)
#endif
#ifdef MUTANT_TRUSTED_MARK
    :: (registered & ~heard) == HOLDER && marked && uptime >= 1 -> assert(false)
#endif
    :: COVERED -> waiting = true
    :: else -> skip
    fi
}

active proctype system() {
    atomic {
        if
        :: registered = ALL
        :: registered = FIRST
        fi;
        if
        :: peer_is_settled = false
        :: peer_is_settled = true;
            /* It has heard from all agents that run, also from one that was refused by the store. */
            peer_known = ALL;
            peer_heard = ALL
        :: registered == FIRST ->
            /* Agent 1 has just started. */
            peer_is_settled = true;
            peer_known = FIRST;
            peer_heard = FIRST
        fi;
        if
        :: marked = false
#ifndef MUTANT_STALE_MARK
        :: peer_is_settled -> marked = true
#else
        :: marked = true
#endif
        fi
    }
end:
    do
    :: atomic { !(heard & FIRST) -> hears(FIRST) }
    :: atomic { !(heard & HOLDER) && holder_is_up -> hears(HOLDER) }
    :: atomic { !(peer_heard & FIRST) -> peer_known = peer_known | FIRST; peer_heard = peer_heard | FIRST }
    :: atomic { !(peer_heard & HOLDER) && holder_is_up ->
            peer_known = peer_known | HOLDER;
            peer_heard = peer_heard | HOLDER
       }
    :: atomic {                   /* records are fetched from the other balancer, and by it */
        known != peer_known ->
            if
            :: known = known | peer_known
            :: peer_known = peer_known | known
            fi
       }
    :: atomic { uptime == 0 -> uptime = 1 }
    :: atomic { uptime == 1 -> uptime = 2 }
    :: atomic {                   /* the other balancer reaches the minimum uptime */
        !peer_is_settled && HEARD_FROM_RUNNING -> peer_is_settled = true
       }
    :: atomic {                   /* records are fetched from the balancer that opened the flow */
        opener_is_up ->
            if
            :: known = ALL
            :: peer_known = ALL
            fi
       }
    :: atomic { opener_is_up -> opener_is_up = false }
    :: atomic {                   /* it hasn't been heard for long */
        !opener_is_up && opener_counts && HOLDER_IS_HEARD_OR_LISTED ->
            opener_counts = false;
#ifndef MUTANT_OLD_AGREEMENT
            /* A search ends before a balancer that fails meanwhile stops to count. */
            peer_has_answered = false
#endif
       }
    :: atomic {                   /* another balancer answers, perhaps to a question that was repeated */
        asking || waiting ->
            if
            :: peer_has_answered = true; peer_named = peer_known; peer_vouched = OFFERS_TARGETS
            :: opener_is_up -> opener_has_answered = true; opener_named = ALL
            fi
       }
    :: atomic {
        waiting && peer_has_answered && peer_named == known && peer_vouched && OPENER_AGREES &&
            (COMPLETE || uptime == 2) && COVERED ->
            assert(false)             /* the caller would receive a reset */
       }
    :: atomic { waiting && !COVERED -> waiting = false; start_search() }
    :: atomic { restarts < 2 && holder_is_up -> restarts++; holder_is_up = false }
    :: atomic { !holder_is_up -> holder_is_up = true; holder_sees_all = false }
    :: atomic {                   /* wrong evidence that the backend server has ended, and its next heartbeat */
        holder_is_up && false_ends == 0 ->
            false_ends++;
#ifdef MUTANT_FALSE_DENIAL
            holder_sees_all = true;
#else
            holder_sees_all = false;
#endif
       }
    :: atomic { !asking && !waiting && searches < 2 && known != NONE -> start_search() }
    :: atomic {
        asking && (asked & FIRST) && !(denials & FIRST) ->
            denials = denials | FIRST;
            if
            :: (denials == asked) && !undecided -> conclude()
            :: else
            fi
       }
    :: atomic {                   /* agent 1 confirms the flow, or its backend server answers a copy */
        asking && (asked & HOLDER) && holder_is_up ->
#ifdef MUTANT_FALSE_DENIAL
            if
            :: false_ends > 0 && holder_sees_all ->
                denials = denials | HOLDER;
                if
                :: denials == asked -> conclude()
                :: else
                fi
            :: else -> asking = false
            fi
#else
            asking = false
#endif
       }
    :: atomic {                   /* agent 1 doesn't answer, so that nothing is concluded */
        asking && (asked & HOLDER) && !holder_is_up -> undecided = true; asking = false
       }
    od
}
