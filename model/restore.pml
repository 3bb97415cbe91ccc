/*
 * One record in a store that is restored from copies of it, its replication by lists and watches, and
 * its owner, who writes again what a restore has lost.
 *
 * The owner's writes are numbered in the owner's order (their ids). The store numbers all writes; a
 * restore goes back to the copy's number, so that numbers are assigned again, and starts a new epoch. A
 * process holds the id with the highest (epoch, number), remembers the writes that it has seen
 * superseded, and ignores them in a list of an epoch that isn't settled, as well as lower numbers than it
 * holds from before its first list. A watch continues from a
 * position, and only a process that lists learns of the epoch. An epoch is settled after a grace period
 * that is longer than the owner takes to write again, if it does so at all.
 *
 * Mutants, each of which must be rejected:
 *   MUTANT_NUMBER_ONLY     a process compares numbers without the epoch
 *   MUTANT_TAKE_COPY       a process takes what a restored store lists at once
 *   MUTANT_KEEP_POSITION   a watch continues from its number after a restore
 *   MUTANT_NO_MEMORY       a process takes every write that it hasn't seen superseded
 *   MUTANT_NEVER_SETTLE    lost writes stay in force forever
 */

#define PROCESSES 2
#define WRITES 3      /* ids of the owner's writes */
#define NUMBERS 6     /* highest number that the store can assign */
#define RESTORES 2

byte epoch;
byte number;                    /* number of the last write */
byte content;                   /* id of the write that the store holds */
byte history[NUMBERS + 1];      /* id of the write with each number */
byte copy_number;               /* copy that the next restore goes back to */
byte copy_content;
byte last_id;                   /* last id that the owner has used */
byte wanted;                    /* id that the owner wants the store to hold */
bool abandoned;                 /* the owner hasn't written again what was lost */
byte restores;

byte held_epoch[PROCESSES];
byte held_number[PROCESSES];
byte held[PROCESSES];           /* id held */
byte position_epoch[PROCESSES];
byte position[PROCESSES];
byte settled[PROCESSES];        /* newest settled epoch */
byte memory[PROCESSES];         /* number from which the process has seen all writes before the restore */
/* Superseded writes that the process has seen: one bit for each pair of number and id. */
int superseded[PROCESSES];

hidden byte before;
hidden byte p;

#ifdef MUTANT_NO_MEMORY
#define REMEMBERS false
#else
#define REMEMBERS true
#endif

/* The offer is listed in an epoch that isn't settled. */
#define UNSETTLED(x, listed) (listed && settled[x] < position_epoch[x])
/* The write was superseded before the restore, or may have been before the process saw all writes. */
#define FROM_COPY(x, n, id) \
    ((superseded[x] & BIT(n, id)) || \
        (REMEMBERS && held_epoch[x] < position_epoch[x] && n < held_number[x] && n <= memory[x]))

#define BIT(n, id) (1 << ((n) * (WRITES + 1) + (id)))

inline take(x, n, id) {
    before = held[x];
    superseded[x] = superseded[x] | BIT(held_number[x], held[x]);
    held_epoch[x] = position_epoch[x];
    held_number[x] = n;
    held[x] = id;
    /* What was lost for good may go back once the epoch is settled. */
    assert(held[x] >= before || (settled[x] == held_epoch[x] && abandoned))
}

/* Process x receives the write with number n and this id, in the epoch of its position. */
inline offer(x, n, id, listed) {
    if
#ifdef MUTANT_NUMBER_ONLY
    :: n > held_number[x] -> take(x, n, id)
    :: else
#else
#ifndef MUTANT_TAKE_COPY
    :: UNSETTLED(x, listed) && FROM_COPY(x, n, id) -> skip
    :: !(UNSETTLED(x, listed) && FROM_COPY(x, n, id)) &&
        (position_epoch[x] > held_epoch[x] ||
            (position_epoch[x] == held_epoch[x] && n > held_number[x])) -> take(x, n, id)
#else
    :: position_epoch[x] > held_epoch[x] ||
        (position_epoch[x] == held_epoch[x] && n > held_number[x]) -> take(x, n, id)
#endif
    :: else
#endif
    fi
}

inline list(x) {
    position_epoch[x] = epoch;
    position[x] = number;
    offer(x, number, content, true);
    memory[x] = number
}

inline watch(x) {
    position[x]++;
    offer(x, position[x], history[position[x]], false)
}

#ifdef MUTANT_KEEP_POSITION
#define CONTINUES(x) (position[x] < number)
#define MUST_LIST(x) (position[x] > number)
#else
#define CONTINUES(x) (position_epoch[x] == epoch && position[x] < number)
#define MUST_LIST(x) (position_epoch[x] != epoch)
#endif

/* The record is the only one, so its number is that of the last write. */
inline write(id) {
    number++;
    content = id;
    history[number] = id
}

#define PROCESS(x) \
    :: atomic { CONTINUES(x) -> watch(x) } \
    :: atomic { MUST_LIST(x) -> list(x) } \
    :: atomic { settled[x] < position_epoch[x] && position_epoch[x] == epoch && \
        content == wanted && SETTLES -> settled[x] = epoch; list(x) }

#ifdef MUTANT_NEVER_SETTLE
#define SETTLES false
#else
#define SETTLES true
#endif

active proctype system() {
    do
    :: atomic { last_id < WRITES && content == wanted && number < NUMBERS ->
        last_id++;
        wanted = last_id;
        write(wanted) }
    /* The copy is made at any time. */
    :: atomic { restores < RESTORES && copy_number < number && content == wanted ->
        copy_number = number;
        copy_content = content }
    :: atomic { restores < RESTORES && copy_number < number && content == wanted ->
        restores++;
        epoch++;
        number = copy_number;
        content = copy_content }
    /* After a restore the owner writes again what was lost, or does not. */
    :: atomic { content != wanted && number < NUMBERS -> write(wanted) }
    :: atomic { content != wanted -> abandoned = true; wanted = content }
    PROCESS(0)
    PROCESS(1)
    :: else -> break
    od;
    assert(held[0] == content);
    assert(held[1] == content)
}
