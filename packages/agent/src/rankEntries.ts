import { createHash } from "node:crypto";
import type { EntryAddress } from "./agentSettings.js";

const rendezvousWeight = (vmId: string, entryId: string): string =>
    createHash("sha256").update(`${vmId}/${entryId}`).digest("hex");

/**
 * Sorts the entries by the preference of a worker's agent: entries of its own data centre first, then by rendezvous
 * hashing, so that agents spread evenly and the loss of one entry moves only the agents of that entry.
 */
export const rankEntries = (
    vmId: string,
    dataCentre: string,
    entries: readonly EntryAddress[],
): readonly EntryAddress[] => {
    const ranked = entries.map(entry => ({
        entry,
        distance: entry.dataCentre === dataCentre ? 0 : 1,
        weight: rendezvousWeight(vmId, entry.id),
    }));
    return ranked.sort((a, b) => a.distance - b.distance || b.weight.localeCompare(a.weight)).map(({ entry }) => entry);
};
