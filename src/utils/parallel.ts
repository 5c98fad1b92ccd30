/**
 * Does work for each item, several at the same time, in the order of the items.
 *
 * @param items - what to work on
 * @param width - items that are worked on at the same time
 * @param work - does one; resolves to false if no further item shall be begun
 */
export async function runParallel<Item>(
    items: Iterable<Item>,
    width: number,
    work: (item: Item) => Promise<boolean>,
): Promise<void> {
    const waiting = [...items];
    const takeNext = async (): Promise<void> => {
        for (let item = waiting.shift(); item !== undefined; item = waiting.shift()) {
            if (!await work(item)) {
                waiting.length = 0;
            }
        }
    };
    await Promise.all(Array.from({ length: width }, takeNext));
}
