import type { ControlSubject } from "./controlRule.js";
import type { ControlMessage, ControlMessageOf } from "./controlState.js";

type Kind = ControlMessage["kind"];

const DESCRIPTIONS: { readonly [K in Kind]: (message: ControlMessageOf<K>) => string; } = {
    start: ({ executor, life, epoch, task, run, deadline }) =>
        `start of task ${task} run ${run} to executor ${executor}.${life}, epoch ${epoch}, deadline ${deadline}`,
    stop: ({ executor, epoch, task, run }) => `stop of task ${task} run ${run} to executor ${executor}, epoch ${epoch}`,
    lease: ({ executor, life, epoch, deadline, acknowledged }) =>
        `lease to executor ${executor}.${life}, epoch ${epoch}, deadline ${deadline}, acknowledges ${acknowledged}`,
    report: ({ executor, listed, epoch }) => `report of executor ${executor}.${listed.life}, epoch ${epoch}`,
    write: ({ epoch, version }) => `write of epoch ${epoch} on version ${version}`,
};

const describe = (message: ControlMessage): string =>
    (DESCRIPTIONS[message.kind] as (described: ControlMessage) => string)(message);

/** What a step of the protocol of jobs of steps concerns, in words; executors are followed by their incarnation. */
export const formatControlSubject = (
    { controller, executor, task, placement, message, outcome }: ControlSubject,
): string =>
    [
        controller === undefined ? "" : `controller ${controller}`,
        task === undefined ? "" : `task ${task}`,
        executor === undefined ? "" : `executor ${executor}`,
        placement === undefined ? "" : `on executor ${placement.join(" and ")}`,
        message === undefined ? "" : describe(message),
        outcome ?? "",
    ].filter(part => part !== "").join(", ");
