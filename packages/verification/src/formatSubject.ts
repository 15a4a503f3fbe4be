import type { Message, MessageOf } from "./modelState.js";
import type { Subject } from "./rule.js";

type Kind = Message["kind"];

const DESCRIPTIONS: { readonly [K in Kind]: (message: MessageOf<K>) => string; } = {
    fence: ({ agent, epoch }) => `fence to agent ${agent}, epoch ${epoch}`,
    reserve: ({ agent, epoch, id }) => `reserve ${id} to agent ${agent}, epoch ${epoch}`,
    start: ({ agent, epoch, id }) => `start ${id} to agent ${agent}, epoch ${epoch}`,
    stop: ({ agent, epoch, id }) => `stop ${id} to agent ${agent}, epoch ${epoch}`,
    grant: ({ agent, epoch, left }) => `grant of ${left} ticks to agent ${agent}, epoch ${epoch}`,
    config: ({ agent, version }) => `configuration ${version} to agent ${agent}`,
};

const describe = (message: Message): string => (DESCRIPTIONS[message.kind] as (described: Message) => string)(message);

/** What a step of the core protocol concerns, in words. */
export const formatSubject = ({ attempt, job, agents, holder, message, isAnswerLost }: Subject): string =>
    [
        attempt === undefined ? "" : `attempt ${attempt}`,
        job === undefined ? "" : `job ${job}`,
        agents === undefined ? "" : `agent ${agents.join(" and ")}`,
        holder === undefined ? "" : `holder ${holder}`,
        message === undefined ? "" : describe(message),
        isAnswerLost === true ? "answer lost" : "",
    ].filter(part => part !== "").join(", ");
