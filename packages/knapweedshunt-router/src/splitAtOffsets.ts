/** Splits a prompt at ascending character offsets into the texts of its prefix levels; offsets beyond its end are ignored. */
export function splitAtOffsets (prompt: string, offsets: number[]): string[] {
  const bounds = [0, ...offsets.filter(offset => offset < prompt.length), prompt.length]
  return bounds.slice(1).map((end, i) => prompt.slice(bounds[i], end))
}
