import type { JobOwner } from "@persimmonpitch/control/rows.js";
import { ownerKeyOf } from "@persimmonpitch/control/rows.js";

/** Maximum number of tombstones of one owner. */
const MAX_PER_OWNER = 500;
/** Maximum number of tombstones of all owners, which bounds their share of the store and of each replica. */
const MAX_TOTAL = 5_000;

/** Whether the owner may cancel one more job that is not stored. `tombstones` is keyed by job id and owner. */
export const mayAddTombstone = (tombstones: ReadonlyMap<string, unknown>, owner: JobOwner): boolean => {
    if (tombstones.size < MAX_PER_OWNER) {
        return true;
    }
    const suffix = `/${ownerKeyOf(owner)}`;
    const ownCount = [...tombstones.keys()].filter(name => name.endsWith(suffix)).length;
    return tombstones.size < MAX_TOTAL && ownCount < MAX_PER_OWNER;
};
