#!/usr/bin/env node
import meow from "meow";
import { CONTROL_SPECIFICATION } from "./control/controlSpecification.js";
import { CORE_SPECIFICATION } from "./coreSpecification.js";
import type { ExploreOptions } from "./explorer.js";
import { explore } from "./explorer.js";
import { formatTrace } from "./formatTrace.js";
import type { ProtocolSpecification, ProtocolTypes } from "./protocolSpecification.js";
import { modelOf } from "./protocolSpecification.js";

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const DEFAULT_STATES = 60_000;

type Limits = Pick<ExploreOptions<ProtocolTypes>, "maxDepth" | "maxStates">;

/** What the command line asks for. */
interface Request {
    readonly isLarge: boolean;
    readonly broken: string | undefined;
    readonly scope: string | undefined;
    readonly limits: Limits;
}

const formatBrokenRules = <P extends ProtocolTypes>({ brokenRules }: ProtocolSpecification<P>): string =>
    Object.entries<{ readonly description: string; }>(brokenRules)
        .map(([name, { description }]) => `  ${name.padEnd(26)}  ${description}`)
        .join("\n");

const HELP = `
Usage: npm run model -- [options]

  --depth N      longest run that is explored (default: no limit)
  --states N     distinct states at which a scope stops (default: ${DEFAULT_STATES})
  --bounds NAME  small or large (default: small)
  --scope NAME   explores this scope only
  --break RULE   explores with a broken rule and prints the counterexample
  --help         prints this text

Broken rules of the core protocol:
${formatBrokenRules(CORE_SPECIFICATION)}

Broken rules of jobs of steps:
${formatBrokenRules(CONTROL_SPECIFICATION)}
`;

const isBrokenRuleOf = <P extends ProtocolTypes>(
    { brokenRules }: ProtocolSpecification<P>,
    name: string | undefined,
): name is P["brokenRule"] => name !== undefined && Object.hasOwn(brokenRules, name);

/** Explores the scopes of one specification and prints what was found; returns the number of states. */
const runScopes = <P extends ProtocolTypes>(
    specification: ProtocolSpecification<P>,
    { isLarge, broken, scope: only, limits }: Request,
): number => {
    const { scopes, largeScopes, brokenRules, startOf } = specification;
    const isBroken = isBrokenRuleOf(specification, broken);
    if (broken !== undefined && !isBroken) {
        return 0;
    }
    const named: Readonly<Record<string, (typeof largeScopes)[string]>> = {
        ...scopes,
        ...(isLarge ? largeScopes : {}),
    };
    const chosen = Object.entries(named).filter(([name]) =>
        (only === undefined || only === name) && (!isBroken || brokenRules[broken].scope === name)
    );
    return chosen.reduce((sum, [name, scope]) => {
        const model = modelOf(specification, isBroken ? broken : undefined, scope.bounds);
        const found = explore(specification, model, startOf(scope), { ...limits, without: scope.without });
        const end = found.isComplete ? "complete" : "stopped";
        process.stdout.write(`${name}: ${found.states} distinct states, depth ${found.depth}, ${end}\n`);
        if (found.counterexample !== undefined) {
            const { invariant, steps } = found.counterexample;
            process.stdout.write(`Violated: ${invariant}.\n${formatTrace(specification, steps)}\n`);
            process.exitCode = EXIT_FAILURE;
        }
        return sum + found.states;
    }, 0);
};

const main = (): void => {
    const { flags } = meow(HELP, {
        importMeta: import.meta,
        flags: {
            depth: { type: "number", default: Infinity },
            states: { type: "number", default: DEFAULT_STATES },
            bounds: { type: "string", default: "small" },
            scope: { type: "string" },
            break: { type: "string" },
        },
    });
    const isKnown = flags.break === undefined || isBrokenRuleOf(CORE_SPECIFICATION, flags.break)
        || isBrokenRuleOf(CONTROL_SPECIFICATION, flags.break);
    if (!["small", "large"].includes(flags.bounds) || !isKnown) {
        process.stderr.write(HELP);
        process.exitCode = EXIT_USAGE;
        return;
    }
    const limits = { maxDepth: flags.depth, maxStates: flags.states };
    const request = { isLarge: flags.bounds === "large", broken: flags.break, scope: flags.scope, limits };
    const total = runScopes(CORE_SPECIFICATION, request) + runScopes(CONTROL_SPECIFICATION, request);
    if (total === 0) {
        process.stderr.write(`No scope has the name ${flags.scope ?? ""}.\n`);
        process.exitCode = EXIT_USAGE;
        return;
    }
    process.stdout.write(`${total} distinct states in all.\n`);
};

main();
