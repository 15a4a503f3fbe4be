import type { Command } from "./command.js";
import { burn } from "./commands/burn.js";
import { cancel } from "./commands/cancel.js";
import { check } from "./commands/check.js";
import { diff } from "./commands/diff.js";
import { drain } from "./commands/drain.js";
import { exportHistory } from "./commands/export.js";
import { history } from "./commands/history.js";
import { job } from "./commands/job.js";
import { load } from "./commands/load.js";
import { processKey } from "./commands/processKey.js";
import { request } from "./commands/request.js";
import { show } from "./commands/show.js";
import { status } from "./commands/status.js";
import { submit } from "./commands/submit.js";
import { verify } from "./commands/verify.js";
import { wait } from "./commands/wait.js";

export type CommandName =
    | "check"
    | "diff"
    | "load"
    | "show"
    | "history"
    | "status"
    | "drain"
    | "cancel"
    | "export"
    | "verify"
    | "process-key"
    | "burn"
    | "submit"
    | "job"
    | "wait"
    | "request";

/** All commands, in the order of the help text. */
export const commands: { readonly [N in CommandName]: Command; } = {
    check,
    diff,
    load,
    show,
    history,
    status,
    drain,
    cancel,
    export: exportHistory,
    verify,
    "process-key": processKey,
    burn,
    submit,
    job,
    wait,
    request,
};

/** Whether a word of the command line names a command. */
export const isCommandName = (name: string): name is CommandName => Object.hasOwn(commands, name);
