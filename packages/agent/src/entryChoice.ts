import { createHash } from "node:crypto";
import type { EntryAddress } from "./agentSettings.js";

const rank = (vmId: string, entryId: string): string => createHash("sha256").update(`${vmId}/${entryId}`).digest("hex");

/**
 * The order in which a worker's agent tries the entries: its own data centre first, then by rendezvous hashing,
 * so that agents spread evenly and the loss of one entry moves only the agents of that entry.
 */
export const orderEntries = (
    vmId: string,
    dataCentre: string,
    entries: readonly EntryAddress[],
): readonly EntryAddress[] => {
    const keyed = entries.map(entry => ({
        entry,
        distance: entry.dataCentre === dataCentre ? 0 : 1,
        weight: rank(vmId, entry.id),
    }));
    return keyed.sort((a, b) => a.distance - b.distance || b.weight.localeCompare(a.weight)).map(({ entry }) => entry);
};
