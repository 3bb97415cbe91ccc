/*
 * Reset of a flow by the denial of its owner, without a search of all targets.
 *
 * A caller opens a flow at one of two targets; a retransmitted opener may reach the other one, too. Targets
 * and agents restart, together or alone. The caller may close the flow and use its port again. A balancer has
 * seen openers and packets of the flow, or has read the flow from a checkpoint of any age, and asks the agent
 * that it takes for the owner. It resets the flow if the agent denies it.
 *
 * Property: no reset takes effect on a flow that a target holds.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_UNCONFIRMED  the owner needn't have confirmed the flow: the opener that was sent there suffices
 *   MUTANT_BLIND_DENIAL an agent that restarted beside a running target denies flows that it doesn't know
 *   MUTANT_OLD_ANSWER   an answer counts for a later question
 *   MUTANT_LATE_DENIAL  a denial counts although the caller has used its port again since the question
 *   MUTANT_REUSED_PORT  the acknowledgment isn't compared with that of the flow when it was confirmed
 */

#define NONE 2

byte connection = 1;    /* number of the caller's connection; the port is used again by a later one */
byte holder = NONE;     /* target that holds the caller's connection */
bool knows[2];          /* the agent knows whether its target holds the flow */
bool half_open[2];      /* the target has answered an opener that the caller doesn't continue */

byte owner = NONE;      /* target to which the balancer sends the flow */
bool confirmed = false; /* the owner has confirmed the flow */
byte seen;              /* connection whose acknowledgment the balancer saw last */

byte question = 0;      /* number of the last question */
byte asked;             /* connection that the last question was about */
byte answered = 0;      /* number of the question that the denial in transit answers; 0 if there is none */
byte restarts = 0;

/* A caller ignores a reset whose number doesn't belong to its connection. */
#ifdef MUTANT_REUSED_PORT
#define TAKES_EFFECT true
#else
#define TAKES_EFFECT (seen == connection)
#endif

#ifdef MUTANT_UNCONFIRMED
#define MAY_ASK (owner != NONE)
#else
#define MAY_ASK (owner != NONE && confirmed)
#endif

#ifdef MUTANT_OLD_ANSWER
#define IS_CURRENT (answered != 0)
#else
#define IS_CURRENT (answered == question)
#endif

#ifdef MUTANT_LATE_DENIAL
#define IS_SAME true
#else
#define IS_SAME (asked == seen)
#endif

/* An agent denies a flow only if it has seen all flows of its target. */
#ifdef MUTANT_BLIND_DENIAL
#define DENIES(target) (holder != target || !knows[target])
#else
#define DENIES(target) (holder != target && knows[target])
#endif

init {
    knows[0] = true;
    knows[1] = true;
    do
    /* The balancer sends an opener to a target, which isn't the one that the caller continues at. */
    :: holder == NONE && connection < 4 && !half_open[0] ->
        half_open[0] = true;
        owner = 0;
        confirmed = false;
        holder = 1;
        seen = connection
    /* The opener reaches the target that the caller continues at, through this or another balancer. */
    :: holder == NONE && connection < 4 ->
        if
        :: owner = 0; confirmed = false; holder = 0; seen = connection
        :: holder = 0
        :: holder = 1
        fi
    /* A packet of the caller reaches the owner, which confirms the flow if it holds it. */
    :: owner != NONE && holder == owner && knows[owner] ->
        seen = connection;
        confirmed = true
    /* A packet of the caller passes by; a confirmation counts for its connection only. */
    :: owner != NONE && holder != NONE && seen != connection ->
        seen = connection;
        confirmed = false
    /* Target and agent lose power, or the agent restarts alone. */
    :: restarts < 3 ->
        restarts++;
        if
        :: (holder == 0) -> holder = NONE; half_open[0] = false; knows[0] = true; connection++
        :: (holder == 1) -> holder = NONE; knows[1] = true; connection++
        :: knows[0] = false
        :: knows[1] = false
        fi
    /* The caller closes its connection. */
    :: holder != NONE && connection < 4 ->
        holder = NONE;
        half_open[0] = false;
        connection++
    /* The balancer loses its memory, and reads the flow as it had been confirmed. */
    :: question < 4 && MAY_ASK ->
        question++;
        asked = seen
    :: question > 0 && owner != NONE && answered == 0 && DENIES(owner) ->
        answered = question
    :: answered != 0 && !IS_CURRENT ->
        answered = 0
    :: answered != 0 && IS_CURRENT ->
        /* The balancer resets the flow that it knows now, if it is confirmed. */
        if
        :: MAY_ASK && IS_SAME ->
            assert(!(holder != NONE && TAKES_EFFECT));
            owner = NONE;
            confirmed = false
        :: else
        fi;
        answered = 0
    :: (connection >= 4 && holder == NONE) -> break
    od
}
