import type { LogFields, Logger } from "@persimmonpitch/logging/logger.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import type { EvacuationChange } from "../src/evacuationHolder.js";
import { EvacuationHolder } from "../src/evacuationHolder.js";

t.formatSnapshot = formatSnapshot;

/** A holder, and the steps that were applied to it with their effects. */
class Recorder {
    readonly steps: unknown[] = [];
    private lines: unknown[] = [];
    private notices = 0;
    private readonly holder: EvacuationHolder;

    constructor() {
        const logger: Logger = {
            log: (_level, event, fields?: LogFields) => this.lines.push({ event, ...fields }),
            with: () => logger,
        };
        this.holder = new EvacuationHolder(logger);
        this.holder.listen(() => {
            this.notices += 1;
        });
    }

    reset(version: number, ...dataCentres: readonly string[]): void {
        this.holder.replaceIfNewer({ version, dataCentres: [...dataCentres] }, { silenceMs: 12.4 });
        this.record(`reset at ${version}: ${dataCentres.join(" ")}`);
    }

    takeOver(version: number, ...dataCentres: readonly string[]): void {
        this.holder.replaceIfNewer({ version, dataCentres: [...dataCentres] }, { peer: "n2" });
        this.record(`from a peer at ${version}: ${dataCentres.join(" ")}`);
    }

    /** Changes as "+DATA_CENTRE@VERSION" or "-DATA_CENTRE@VERSION". */
    apply(...changes: readonly string[]): void {
        this.holder.apply(changes.map((change): EvacuationChange => {
            const [dataCentre = "", version] = change.slice(1).split("@");
            return { dataCentre, isEvacuated: change.startsWith("+"), version: Number(version) };
        }));
        this.record(`changes: ${changes.join(" ")}`);
    }

    private record(step: string): void {
        this.steps.push({ step, state: this.holder.current, lines: this.lines, notices: this.notices });
        this.lines = [];
        this.notices = 0;
    }
}

const CASES: Readonly<Record<string, (recorder: Recorder) => void>> = {
    // Guards against taking changes for the whole state before the rows have been read.
    "changes before the first reset": recorder => {
        recorder.apply("+west@3");
        recorder.reset(4, "west");
    },
    // Guards against an entry that begins to decide only with the first evacuation.
    "the first reset without evacuations": recorder => {
        recorder.reset(1);
    },
    "several data centres": recorder => {
        recorder.reset(1, "west");
        recorder.apply("+east@2", "-west@3", "+west@4", "-west@5");
        recorder.apply("-unknown@6");
    },
    // Guards against late answers of the store that bring back an evacuation, or end one, after a peer told otherwise.
    "older rows after a takeover from a peer": recorder => {
        recorder.reset(1, "west");
        recorder.takeOver(9, "east");
        recorder.apply("+west@5", "-east@6");
        recorder.reset(7, "west");
        recorder.apply("-east@9", "-east@10");
        recorder.takeOver(8, "west");
    },
    // Guards against removals that are lost because the store dropped its history.
    "a reset without a row": recorder => {
        recorder.reset(1, "west", "east");
        recorder.reset(8, "east");
    },
};

for (const [name, run] of Object.entries(CASES)) {
    void t.test(name, t => {
        const recorder = new Recorder();
        run(recorder);
        t.matchSnapshot(recorder.steps);
        t.end();
    });
}
