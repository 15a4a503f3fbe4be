import { buildBody, planTeams, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { figuresOf, watch, watchedEntry } from "../stretch.js";
import { entryAt, loadConfiguration, withTestbed } from "../testbed.js";

const SETTLE_MS = 2_000;

/** What a large configuration costs an entry that has no agents and does not hold the role. */
export const configurationSize: Measurement = {
    description: "an entry without agents and without the role, by the size of the configuration it reads",
    sizeUnit: "VM in the configuration",
    sizes: [93, 465, 930],
    quickSizes: [2, 4, 6],
    run: eachSize((size, { settle, stretchMs }) =>
        withTestbed(2, async bed => {
            const holder = entryAt(bed, 0);
            const entry = entryAt(bed, 1);
            const body = buildBody(workerVms(size), planTeams(size));
            await loadConfiguration(holder, body, 0);
            await settle(SETTLE_MS);
            const [use] = await watch([watchedEntry(entry)], stretchMs);
            return {
                ...use === undefined ? {} : figuresOf("entry", use),
                "configuration B": Buffer.byteLength(JSON.stringify(body)),
            };
        })
    ),
};
