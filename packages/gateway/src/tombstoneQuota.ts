import type { JobOwner } from "@persimmonpitch/control/rows.js";

/** Maximum number of tombstones of one team in all queues, or of the callers without a key of one queue. */
const MAX_PER_CALLER = 500;
/** Maximum number of all tombstones, which bounds their share of the store and of each replica. */
const MAX_TOTAL = 5_000;

/** Whether the owner may cancel one more job that is not stored. */
export const mayAddTombstone = (
    tombstones: ReadonlyMap<string, { readonly value: JobOwner; }>,
    owner: JobOwner,
): boolean => {
    if (tombstones.size < MAX_PER_CALLER) {
        return true;
    }
    const ownCount = [...tombstones.values()].filter(({ value }) => isSameCaller(value, owner)).length;
    return tombstones.size < MAX_TOTAL && ownCount < MAX_PER_CALLER;
};

const isSameCaller = (left: JobOwner, right: JobOwner): boolean =>
    left.team === right.team && (left.team !== undefined || left.queue === right.queue);
