#!/usr/bin/env node
import meow from "meow";
import type { BrokenRuleName } from "./brokenRules.js";
import { BROKEN_RULES, isBrokenRule, modelOf } from "./brokenRules.js";
import type { ExploreOptions } from "./explorer.js";
import { explore, formatTrace } from "./explorer.js";
import type { BoundsName, Scope } from "./scopes.js";
import { BOUNDS, startOf } from "./scopes.js";

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const DEFAULT_STATES = 60_000;

type Limits = Pick<ExploreOptions, "maxDepth" | "maxStates">;

const HELP = `
Usage: npm run model -- [options]

  --depth N      longest run that is explored (default: no limit)
  --states N     distinct states at which a scope stops (default: ${DEFAULT_STATES})
  --bounds NAME  ${Object.keys(BOUNDS).join(" or ")} (default: small)
  --break RULE   explores with a broken rule and prints the counterexample
  --help         prints this text

Broken rules:
${Object.entries(BROKEN_RULES).map(([name, { description }]) => `  ${name.padEnd(26)}  ${description}`).join("\n")}
`;

const isBoundsName = (name: string): name is BoundsName => Object.hasOwn(BOUNDS, name);

/** Explores one scope and prints what was found; returns the number of states. */
const runScope = (name: string, scope: Scope, broken: BrokenRuleName | undefined, limits: Limits): number => {
    const model = modelOf(broken, scope.bounds);
    const found = explore(model, startOf(scope), { ...limits, without: scope.without });
    const end = found.isComplete ? "complete" : "stopped";
    process.stdout.write(`${name}: ${found.states} distinct states, depth ${found.depth}, ${end}\n`);
    if (found.counterexample !== undefined) {
        const { invariant, steps } = found.counterexample;
        process.stdout.write(`Violated: ${invariant}.\n${formatTrace(steps)}\n`);
        process.exitCode = EXIT_FAILURE;
    }
    return found.states;
};

const main = (): void => {
    const { flags } = meow(HELP, {
        importMeta: import.meta,
        flags: {
            depth: { type: "number", default: Infinity },
            states: { type: "number", default: DEFAULT_STATES },
            bounds: { type: "string", default: "small" },
            break: { type: "string" },
        },
    });
    const broken = flags.break;
    if (!isBoundsName(flags.bounds) || (broken !== undefined && !isBrokenRule(broken))) {
        process.stderr.write(HELP);
        process.exitCode = EXIT_USAGE;
        return;
    }
    const limits = { maxDepth: flags.depth, maxStates: flags.states };
    const total = Object.entries(BOUNDS[flags.bounds])
        .filter(([name]) => broken === undefined || BROKEN_RULES[broken].scope === name)
        .reduce((sum, [name, scope]) => sum + runScope(name, scope, broken, limits), 0);
    process.stdout.write(`${total} distinct states in all.\n`);
};

main();
