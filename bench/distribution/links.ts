import { selectActiveTransfers } from "./activeTransfers.js";
import type { Agent, Transfer } from "./simulationTypes.js";

/** Speeds of simulated links, in bytes per step. */
export interface LinkSpeeds {
    /** Speed of an agent's link in each direction. */
    readonly agent: number;
    readonly origin: number;
    /** Speed of the link between two zones in each direction; infinite if it limits nothing. */
    readonly zones: number;
}

/** Input of {@link advanceTransfers}. */
export interface LinkInput {
    readonly transfers: readonly Transfer[];
    /** Chunks that an agent keeps in memory for sending; it keeps twice as many for receiving. */
    readonly slots: number;
    /** Zone of the origin. */
    readonly originZone: string;
    readonly speeds: LinkSpeeds;
    readonly now: number;
    readonly isStopped: (agent: Agent) => boolean;
}

/** Simulated time between two steps, in milliseconds. */
export const stepMilliseconds = 10;

/** Rounds in which the remaining capacity of the links is divided among the transfers that have bytes left. */
const rounds = 4;

/**
 * Moves the bytes of one step over links that share their capacity evenly among transfers.
 *
 * @param input - transfers and links
 * @returns transfers whose bytes have all arrived
 */
export function advanceTransfers({ isStopped, now, originZone, slots, speeds, transfers }: LinkInput): Transfer[] {
    const running = selectActiveTransfers(transfers, slots, isStopped);
    const remaining = new Map<unknown, number>();
    const linksOf = ({ receiver, sender }: Transfer) => {
        const from = sender?.zone ?? originZone;
        const ends: (readonly [unknown, number])[] = [
            sender === undefined ? ["origin", speeds.origin] : [sender.outgoing, speeds.agent],
            [receiver.incoming, speeds.agent],
        ];
        return from === receiver.zone ? ends : [...ends, [`${from}>${receiver.zone}`, speeds.zones] as const];
    };
    const paths = running.map(transfer => ({ transfer, links: linksOf(transfer) }));
    for (const { links } of paths) {
        for (const [link, speed] of links) {
            remaining.set(link, speed);
        }
    }
    for (let round = 0; round < rounds; round++) {
        const active = paths.filter(({ links, transfer }) =>
            transfer.remaining > 0 && links.every(([link]) => remaining.get(link)! > 1)
        );
        const counts = new Map<unknown, number>();
        for (const [link] of active.flatMap(({ links }) => links)) {
            counts.set(link, (counts.get(link) ?? 0) + 1);
        }
        const shares = active.map(({ links, transfer }) =>
            Math.min(transfer.remaining, ...links.map(([link]) => remaining.get(link)! / counts.get(link)!))
        );
        active.forEach(({ links, transfer }, position) => {
            const share = shares[position]!;
            transfer.remaining -= share;
            transfer.progressedAt = now;
            for (const [link] of links) {
                remaining.set(link, remaining.get(link)! - share);
            }
        });
    }
    const queued = new Map<Agent, number>();
    for (const { receiver, remaining: bytes } of running) {
        queued.set(receiver, (queued.get(receiver) ?? 0) + Math.max(0, bytes));
    }
    for (const { receiver } of transfers) {
        const isSaturated = (remaining.get(receiver.incoming) ?? Infinity) <= 1;
        receiver.queueDelay = isSaturated ? (queued.get(receiver) ?? 0) / speeds.agent * stepMilliseconds : 0;
    }
    return running.filter(transfer => transfer.remaining <= 0.5);
}
