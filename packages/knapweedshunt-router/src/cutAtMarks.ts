/** Cuts a prompt at ascending character offsets into the texts of its levels. */
export function cutAtMarks (prompt: string, marks: number[]): string[] {
  const bounds = [0, ...marks.filter(mark => mark < prompt.length), prompt.length]
  return bounds.slice(1).map((end, i) => prompt.slice(bounds[i], end))
}
