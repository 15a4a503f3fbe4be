#!/usr/bin/env node
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";
import { formatMessage } from "@persimmonpitch/findings/messageTable.js";
import meow from "meow";
import { runBench } from "./benchRun.js";
import type { PolicyName } from "./policies.js";
import { comparedPolicies, isPolicyName, POLICIES } from "./policies.js";
import { formatReport, reportData } from "./report.js";
import { deploymentNameSchema } from "./traceSchema.js";

const MESSAGES = {
    deployment: "There is no deployment {name}; use cooperative, lentesud or plan.",
    policy: "There is no policy {name}; use one of {names}.",
    number: "--{flag} needs a number above zero.",
} satisfies MessageTable;

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const JSON_INDENT = 2;

const HELP = `
Usage: npm run bench -- [options]

  --deployment NAME  cooperative, lentesud or plan (default: cooperative)
  --seed N           seed of the trace (default: 1)
  --hours N          length of the trace
  --policy NAME      one policy instead of all side by side
  --without IDEA     switches an idea of the real policy off; may be repeated
  --json             prints JSON
  --help             prints this text

Policies:
${Object.entries(POLICIES).map(([name, { description }]) => `  ${name.padEnd(15)}  ${description}`).join("\n")}
`;

class UsageError extends Error {
    override readonly name = "UsageError";

    constructor(id: keyof typeof MESSAGES, data: MessageData) {
        super(formatMessage(MESSAGES[id], data));
    }
}

const parsePolicies = (name: string | undefined): PolicyName[] => {
    if (name === undefined) {
        return comparedPolicies();
    }
    if (!isPolicyName(name)) {
        throw new UsageError("policy", { name, names: Object.keys(POLICIES).join(", ") });
    }
    // The targets compare with these two.
    return [...new Set<PolicyName>([name, "fifoFirstFit", "fifoBackfill"])];
};

const main = (): void => {
    const { flags } = meow(HELP, {
        importMeta: import.meta,
        flags: {
            deployment: { type: "string", default: "cooperative" },
            seed: { type: "number", default: 1 },
            hours: { type: "number" },
            policy: { type: "string" },
            without: { type: "string", isMultiple: true },
            json: { type: "boolean", default: false },
        },
    });
    const deployment = deploymentNameSchema.safeParse(flags.deployment);
    if (!deployment.success) {
        throw new UsageError("deployment", { name: flags.deployment });
    }
    const bench = runBench({
        deployment: deployment.data,
        seed: flags.seed,
        ...flags.hours === undefined ? {} : { hours: flags.hours },
        policies: parsePolicies(flags.policy),
        options: Object.fromEntries((flags.without ?? []).map(idea => [idea, false])),
    });
    console.log(flags.json ? JSON.stringify(reportData(bench), undefined, JSON_INDENT) : formatReport(bench));
    process.exitCode = bench.broken.size > 0 ? EXIT_FAILURE : 0;
};

try {
    main();
}
catch (err) {
    if (!(err instanceof UsageError)) {
        throw err;
    }
    console.error(err.message);
    process.exitCode = EXIT_USAGE;
}
