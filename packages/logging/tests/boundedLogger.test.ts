import t from "tap";
import { boundedLogger } from "../src/boundedLogger.js";
import { silentLogger } from "../src/logger.js";

// Guards against a burst of requests that is written in full, and against lines that vanish without a trace.
void t.test("a burst of one event is bounded and counted, and other events are written", t => {
    const lines: string[] = [];
    let now = 0;
    const logger = boundedLogger(
        { ...silentLogger, log: (_level, event, fields) => lines.push([event, fields?.n ?? fields?.lines].join(" ")) },
        { now: () => now, maxLines: 2 },
    );
    for (let n = 1; n <= 5; n += 1) {
        logger.log("info", "request", { n });
    }
    logger.log("info", "other", { n: 1 });
    now = 1_000;
    logger.log("info", "request", { n: 6 });
    t.same(lines, ["request 1", "request 2", "other 1", "log.omitted 3", "request 6"]);
    t.end();
});
