#!/usr/bin/env node
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";
import { formatMessage } from "@persimmonpitch/findings/messageTable.js";
import meow from "meow";
import { writeFileSync } from "node:fs";
import { formatAblation, runAblation } from "./ablation.js";
import { runBench } from "./benchRun.js";
import { drawCharts } from "./charts.js";
import type { PassCost } from "./passCost.js";
import { formatPassCosts, measurePassCosts } from "./passCost.js";
import type { PolicyName } from "./policies.js";
import { comparedPolicies, isPolicyName, POLICIES } from "./policies.js";
import { formatReport, reportData } from "./report.js";
import { formatStepsAblation, runStepsAblation } from "./stepsAblation.js";
import { formatSteps, runSteps } from "./stepsBench.js";
import { isStepsIdea, STEPS_IDEAS, withoutIdeas } from "./stepsIdeas.js";
import { stepsDeploymentSchema } from "./stepsProfile.js";
import { deploymentNameSchema } from "./traceSchema.js";

const MESSAGES = {
    deployment: "There is no deployment {name}; use cooperative, lentesud or plan.",
    policy: "There is no policy {name}; use one of {names}.",
    number: "--{flag} needs a number above zero.",
    ideas: "--ablation needs at least one --without IDEA.",
    stepsDeployment: "There are no jobs of steps for {name}; use cooperative or lentesud.",
    stepsIdea: "There is no idea {name} for jobs of steps; use one of {names}.",
} satisfies MessageTable;

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const JSON_INDENT = 2;

const HELP = `
Usage: npm run bench -- [options]

  --steps            replays jobs of steps; only --deployment, --seed, --without, --ablation, --seeds and --json apply
  --deployment NAME  cooperative, lentesud or plan (default: cooperative)
  --seed N           seed of the trace (default: 1)
  --hours N          length of the trace
  --policy NAME      one policy instead of all side by side
  --without IDEA     switches an idea of the real policy off; may be repeated
  --ablation         compares the real policy with and without each idea given by --without
  --seeds N          number of seeds of an ablation (default: 5)
  --pass-cost        only times one placement pass of the policy, at 1x, 2x and 4x the plan
  --json             prints JSON
  --svg FILE         writes completion-time distributions and fragmentation over time
  --help             prints this text

Ideas of --steps: ${Object.keys(STEPS_IDEAS).join(", ")}

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

const checkNumber = (flag: string, value: number | undefined): void => {
    if (value !== undefined && !(value > 0)) {
        throw new UsageError("number", { flag });
    }
};

interface StepsFlags {
    readonly deployment: string;
    readonly seed: number;
    readonly seeds: number;
    readonly ablation: boolean;
}

type Print = (data: unknown, text: string) => void;

const runStepsCommand = (flags: StepsFlags, ideas: readonly string[], print: Print): void => {
    const deployment = stepsDeploymentSchema.safeParse(flags.deployment);
    if (!deployment.success) {
        throw new UsageError("stepsDeployment", { name: flags.deployment });
    }
    const unknown = ideas.find(idea => !isStepsIdea(idea));
    if (unknown !== undefined) {
        throw new UsageError("stepsIdea", { name: unknown, names: Object.keys(STEPS_IDEAS).join(", ") });
    }
    if (flags.ablation) {
        const chosen = ideas.length > 0 ? ideas : Object.keys(STEPS_IDEAS);
        const rows = runStepsAblation(deployment.data, flags.seed, flags.seeds, chosen);
        print(rows, formatStepsAblation(rows));
        return;
    }
    const runs = runSteps(deployment.data, flags.seed, withoutIdeas(ideas));
    print(runs, formatSteps(runs));
    process.exitCode = runs.some(({ lateGuarantees }) => lateGuarantees.length > 0) ? EXIT_FAILURE : 0;
};

const main = async (): Promise<void> => {
    const { flags } = meow(HELP, {
        importMeta: import.meta,
        flags: {
            steps: { type: "boolean", default: false },
            deployment: { type: "string", default: "cooperative" },
            seed: { type: "number", default: 1 },
            hours: { type: "number" },
            policy: { type: "string" },
            without: { type: "string", isMultiple: true },
            ablation: { type: "boolean", default: false },
            seeds: { type: "number", default: 5 },
            passCost: { type: "boolean", default: false },
            json: { type: "boolean", default: false },
            svg: { type: "string" },
        },
    });
    const print = (data: unknown, text: string) => {
        console.log(flags.json ? JSON.stringify(data, undefined, JSON_INDENT) : text);
    };
    checkNumber("seeds", flags.seeds);
    if (flags.steps) {
        runStepsCommand(flags, flags.without ?? [], print);
        return;
    }
    const deployment = deploymentNameSchema.safeParse(flags.deployment);
    if (!deployment.success) {
        throw new UsageError("deployment", { name: flags.deployment });
    }
    checkNumber("hours", flags.hours);
    const common = {
        deployment: deployment.data,
        seed: flags.seed,
        ...flags.hours === undefined ? {} : { hours: flags.hours },
    };
    const ideas = flags.without ?? [];
    if (flags.ablation) {
        if (ideas.length === 0) {
            throw new UsageError("ideas", {});
        }
        const rows = runAblation({ ...common, seeds: flags.seeds, ideas });
        print(rows, formatAblation(rows));
        return;
    }
    const policies = parsePolicies(flags.policy);
    const options = Object.fromEntries(ideas.map(idea => [idea, false]));
    if (flags.passCost) {
        const passCosts = measurePassCosts(policies.slice(0, 1), options, flags.seed);
        print(Object.fromEntries(passCosts), formatPassCosts(passCosts).join("\n"));
        return;
    }
    const bench = runBench({ ...common, policies, options });
    const costs = deployment.data === "plan"
        ? measurePassCosts(policies.slice(0, 1), options, flags.seed)
        : new Map<PolicyName, PassCost[]>();
    print(
        { ...reportData(bench), passCosts: Object.fromEntries(costs) },
        [
            formatReport(bench),
            ...formatPassCosts(costs),
        ].join("\n\n"),
    );
    if (flags.svg !== undefined) {
        writeFileSync(flags.svg, await drawCharts(bench));
    }
    process.exitCode = bench.broken.size > 0 ? EXIT_FAILURE : 0;
};

try {
    await main();
}
catch (err) {
    if (!(err instanceof UsageError)) {
        throw err;
    }
    console.error(err.message);
    process.exitCode = EXIT_USAGE;
}
