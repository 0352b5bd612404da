package org.tallycart.core.declaration;

import java.util.List;

import org.tallycart.core.ini.IniSection;
import org.tallycart.core.ini.Problem;

/**
 * Checks the rules of a policy before it is accepted.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PolicyChecker {

	/**
	 * Check a policy's rules.
	 * @param section where the policy stands
	 * @param source the rules
	 * @return what is wrong; empty if nothing is
	 */
	List<Problem> check(IniSection section, PolicySource source);

}
