const ENV_PREFIX = 'KNAPWEEDSHUNT_'

/** Returns the flag of a setting without its dashes: `platform-url` for `platformUrl`. */
export function getFlagName (key: string): string {
  return key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/** Returns the environment variable of a setting: `KNAPWEEDSHUNT_PLATFORM_URL` for `platformUrl`. */
export function getVariableName (key: string): string {
  return ENV_PREFIX + getFlagName(key).replaceAll('-', '_').toUpperCase()
}
