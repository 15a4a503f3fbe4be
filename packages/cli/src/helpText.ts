import { flagHelp } from "./cliFlags.js";
import type { FlagName } from "./cliFlags.js";
import { commands } from "./commands.js";

const alignPairs = (pairs: readonly (readonly [left: string, right: string])[]): readonly string[] => {
    const width = Math.max(...pairs.map(([left]) => left.length));
    return pairs.map(([left, right]) => `  ${left.padEnd(width)}  ${right}`);
};

/** Options are written in kebab case on the command line. */
export const optionName = (flag: string): string => flag.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** The text of `--help`. */
export const helpText = (): string => {
    const flagNames = Object.keys(flagHelp) as readonly FlagName[];
    return [
        "persimmonpitch COMMAND [ARGUMENTS] [OPTIONS]",
        "",
        "Commands:",
        ...alignPairs(
            Object.entries(commands).map(([name, { args, summary }]) => [[name, ...args].join(" "), summary]),
        ),
        "",
        "Options:",
        ...alignPairs(
            flagNames.map(flag => [`--${optionName(flag)} ${flagHelp[flag].value}`.trimEnd(), flagHelp[flag].help]),
        ),
        "",
        "Exit codes: 0 success, 1 failure or findings, 2 wrong usage or settings.",
    ].join("\n");
};
