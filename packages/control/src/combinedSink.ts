import type { RowSink } from "./tableFollower.js";

/** A sink that passes the rows of a table on to several sinks. */
export const combinedSink = (sinks: readonly RowSink[]): RowSink => ({
    reset: (rows, version, silenceMs) => {
        sinks.forEach(sink => {
            sink.reset(rows, version, silenceMs);
        });
    },
    apply: (rows, silenceMs) => {
        sinks.forEach(sink => {
            sink.apply(rows, silenceMs);
        });
    },
});
